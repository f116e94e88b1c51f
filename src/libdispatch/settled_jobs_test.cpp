// Tests of what a settled job leaves in the store, and of loading a cell with settled jobs.
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

constexpr BootTime began{Milliseconds(10'000)};

/// Rows of a cell, with the versions that they were stored at.
struct StoredRows
{
    std::map<RowKey, Row> rows;
    std::int64_t version = 0;

    void apply(const std::vector<RowWrite> &writes)
    {
        for (const RowWrite &write : writes) {
            if (write.remove)
                rows.erase(write.key);
            else
                rows[write.key] = {write.key, write.value, ++version, false};
        }
    }
    std::vector<Row> of(const std::string &table) const
    {
        std::vector<Row> found;
        for (const auto &[key, row] : rows) {
            if (key.table == table)
                found.push_back(row);
        }
        return found;
    }
    std::size_t bytesOf(const std::string &table) const
    {
        std::size_t bytes = 0;
        for (const Row &row : of(table))
            bytes += row.value.size();
        return bytes;
    }
};

JobSpec largeJob(const std::string &id)
{
    JobSpec spec;
    spec.id = id;
    spec.queue = "q";
    spec.service = "svc";
    spec.payload = std::string(4000, 'x');
    spec.steps.emplace_back();
    return spec;
}

/// Submits `count` large jobs and cancels those with an odd number; stores all commits until
/// `now` + 10 s.
void runCell(StoredRows &store, CellDispatcher &owner, int count)
{
    for (int number = 0; number < count; ++number) {
        const std::string id = "job" + std::to_string(number);
        store.apply({cells::jobWrite("svc", largeJob(id))});
        owner.applyJobRow(store.rows.at(cells::jobKey("svc", id)), began);
        if (number % 2 == 0)
            continue;
        store.apply({{cells::cancelKey("svc", id), "{}", false}});
        owner.applyJobRow(store.rows.at(cells::cancelKey("svc", id)), began);
    }
    for (BootTime now = began; now < began + Milliseconds(10'000); now += Milliseconds(100)) {
        if (const auto commit = owner.prepareCommit(now)) {
            store.apply(commit->writes);
            store.apply(commit->inboxWrites);
            owner.commitApplied(now);
        }
    }
}

} // namespace

// Guards against takeovers that read the specifications of all jobs that ended recently.
TEST_CASE("the rows of settled jobs stay in the store without their specifications")
{
    StoredRows store;
    CellDispatcher owner("svc", {}, 1);
    runCell(store, owner, 200);
    CHECK(store.of(cells::jobTable).size() == 300); // 200 jobs, 100 cancellations
    CHECK(store.bytesOf(cells::jobTable) < 101 * (Json(largeJob("job100")).dump().size() + 10));
    CHECK(owner.settledJobs() == 100);
}

// Guards against a takeover or reload that parses the rows of settled jobs.
TEST_CASE("a settled job is loaded without its specification and is not added again by a reload")
{
    StoredRows store;
    CellDispatcher owner("svc", {}, 1);
    runCell(store, owner, 4);
    // As if the first owner had not shrunk the row of job1.
    store.apply({cells::jobWrite("svc", largeJob("job1"))});
    CellDispatcher next("svc", {}, 2);
    next.load(store.of(cells::jobTable), store.of(cells::progressTable), began);
    CHECK(next.jobs().size() == 2);
    CHECK(next.settledJobs() == 2);
    for (const Row &row : store.of(cells::jobTable))
        next.applyJobRow(row, began);
    CHECK(next.jobs().size() == 2);
    const auto commit = next.prepareCommit(began);
    REQUIRE(commit.has_value());
    CHECK(commit->inboxWrites == std::vector{cells::settledJobWrite("svc", "job1")});
}

// Guards against a job that runs again after its progress row was removed without its job row.
TEST_CASE("a shrunk job row without progress belongs to a settled job and expires")
{
    StoredRows store;
    CellDispatcher owner("svc", {}, 1);
    runCell(store, owner, 2);
    CellDispatcher next("svc", {}, 2);
    next.load({store.rows.at(cells::jobKey("svc", "job1"))}, {}, began);
    CHECK(next.jobs().empty());
    CHECK(next.settledJobs() == 1);
    const auto commit = next.prepareCommit(began + Milliseconds(DispatchLimits{}.retentionMs));
    REQUIRE(commit.has_value());
    CHECK(commit->inboxWrites.front() == cells::removal(cells::jobKey("svc", "job1")));
}
