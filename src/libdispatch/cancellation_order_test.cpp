// Tests of cancellations that the cell's owner reads before the jobs that they are for.
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "plain_job.h"
#include "simulated_seeds.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::job;

namespace {

constexpr BootTime now{Milliseconds(10'000)};

Row rowOf(const RowWrite &write, std::int64_t version)
{
    return {write.key, write.value, version, false};
}

Row jobRow(const std::string &id)
{
    return rowOf(cells::jobWrite("svc", job(id)), 1);
}

Row cancelRow(const std::string &id)
{
    return rowOf({cells::cancelKey("svc", id), "{}", false}, 2);
}

bool removes(const std::vector<RowWrite> &writes, const RowKey &key)
{
    return std::find(writes.begin(), writes.end(), cells::removal(key)) != writes.end();
}

} // namespace

// A read of the whole inbox returns the cancellation of "d" before "d", and the owner dropped it:
// the job was started although its cancellation had been confirmed.
TEST_CASE("a cancellation takes effect in whichever order its row and the job's are read")
{
    std::vector<Row> rows{jobRow("a"), cancelRow("a"), cancelRow("d"), jobRow("d"), jobRow("e")};
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    do {
        CellDispatcher owner("svc", DispatchLimits{}, 1);
        for (const std::size_t index : order)
            owner.applyJobRow(rows[index], now);
        CAPTURE(order);
        CHECK(owner.jobs().at("a").phase() == JobPhase::Cancelled);
        CHECK(owner.jobs().at("d").phase() == JobPhase::Cancelled);
        CHECK(owner.jobs().at("e").phase() == JobPhase::Queued);
    } while (std::next_permutation(order.begin(), order.end()));
}

// The same, with a takeover between the two rows: the next owner loads the cancellation alone.
TEST_CASE("a cancellation that is loaded without its job takes effect once the job is read")
{
    CellDispatcher owner("svc", DispatchLimits{}, 1);
    owner.load({cancelRow("d")}, {}, now);
    owner.applyJobRow(jobRow("d"), now);
    CHECK(owner.jobs().at("d").phase() == JobPhase::Cancelled);
}

TEST_CASE("cancelled jobs end although the owner loses the history of changes")
{
    lavenderarch::testing::runWithFaults({.lateInbox = 20, .lostHistory = 2, .cancel = 30}, true);
}

// Guards against rows of cancellations that stay in the store for good.
TEST_CASE("a cancellation without a job is removed from the store after the retention time")
{
    CellDispatcher owner("svc", DispatchLimits{}, 1);
    owner.applyJobRow(cancelRow("x"), now);
    CHECK_FALSE(owner.prepareCommit(now).has_value());
    const BootTime expiry = now + Milliseconds(DispatchLimits{}.retentionMs);
    const auto commit = owner.prepareCommit(expiry);
    REQUIRE(commit.has_value());
    CHECK(removes(commit->inboxWrites, cells::cancelKey("svc", "x")));
    owner.commitApplied(expiry);
    CHECK_FALSE(owner.prepareCommit(expiry).has_value());
}

// The expiry of the cancellation must not remove the rows of the job that it has cancelled.
TEST_CASE("a job that was read after its cancellation is kept for its own retention time")
{
    CellDispatcher owner("svc", DispatchLimits{}, 1);
    owner.applyJobRow(cancelRow("x"), now);
    const BootTime later = now + Milliseconds(DispatchLimits{}.retentionMs / 2);
    owner.applyJobRow(jobRow("x"), later);
    REQUIRE(owner.prepareCommit(later).has_value());
    owner.commitApplied(later);
    CHECK(owner.jobs().count("x") == 1);
    const BootTime expiry = now + Milliseconds(DispatchLimits{}.retentionMs);
    while (const auto commit = owner.prepareCommit(expiry)) {
        CHECK_FALSE(removes(commit->inboxWrites, cells::jobKey("svc", "x")));
        owner.commitApplied(expiry);
    }
    CHECK(owner.jobs().count("x") == 1);
}
