// Tests of the recent failures on a minion, for which placement avoids it.
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/queue_catalog.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

constexpr BootTime start(Milliseconds(50'000));

/// A dispatcher with one minion that runs the single task of each job.
struct OneMinion
{
    CellDispatcher owner{"svc", {}, 1};
    ExchangeRequest request;

    OneMinion()
    {
        auto catalog = std::make_shared<QueueCatalog>();
        catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
        catalog->services.insert("svc");
        owner.setCatalog(catalog);
        request.agent = "agent";
        request.session = "s";
        request.epoch = 1;
        request.registered = request.reachable = true;
        request.facts = {{"m", 1}, "svc", "dc", {}, Resources(4000, 8000, 0), false, 0};
    }
    void send(BootTime now)
    {
        ++request.number;
        owner.handleRequest(request, now, true);
        request.ends.clear();
    }
    void run(const std::string &id, RunOutcome outcome, BootTime now)
    {
        JobSpec job;
        job.id = id;
        job.service = "svc";
        job.queue = "q";
        job.attempts = 1;
        job.steps.emplace_back();
        job.steps[0].demand = Resources(800, 200, 0);
        const RowWrite write = cells::jobWrite("svc", job);
        send(now);
        owner.applyJobRow({write.key, write.value, 1, false}, now);
        REQUIRE(owner.prepareCommit(now));
        owner.commitApplied(now);
        request.orderSeen = owner.reply("agent", now, true).orders.back().sequence;
        request.ends.push_back({++m_ends, {id + ".0.0.0", 1}, outcome, "", ""});
        send(now);
        owner.prepareCommit(now);
        owner.commitApplied(now);
    }

private:
    std::int64_t m_ends = 0;
};

} // namespace

// Guards against a suspect minion that is no longer one since its newest failure was discarded.
TEST_CASE("a success discards the oldest failure on the minion")
{
    OneMinion cell;
    cell.run("z", RunOutcome::Failed, start);
    cell.run("a", RunOutcome::Failed, start + Milliseconds(1000));
    cell.run("m", RunOutcome::Done, start + Milliseconds(2000));
    const auto &failures = cell.owner.minions().at("agent").failedJobs;
    REQUIRE(failures.size() == 1);
    CHECK(failures.begin()->first == "a");
}
