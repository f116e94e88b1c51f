// Tests of starts that are refused for want of room.
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/queue_catalog.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

constexpr BootTime start(Milliseconds(50'000));

JobSpec smallJob(const std::string &id)
{
    JobSpec job;
    job.id = id;
    job.service = "svc";
    job.queue = "q";
    job.steps.emplace_back();
    job.steps[0].demand = Resources(800, 200, 0);
    return job;
}

/// A dispatcher with one minion, which has room for one task.
struct SmallMinion
{
    CellDispatcher owner{"svc", {}, 1};
    ExchangeRequest request;

    SmallMinion()
    {
        auto catalog = std::make_shared<QueueCatalog>();
        catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
        catalog->services.insert("svc");
        owner.setCatalog(catalog);
        request.agent = "agent";
        request.session = "s";
        request.epoch = 1;
        request.registered = request.reachable = request.listed = true;
        request.facts = {{"m", 1}, "svc", "dc", {}, Resources(1000, 1000, 0), false, 0};
    }
    void report(BootTime now)
    {
        ++request.number;
        owner.handleRequest(request, now, true);
        owner.tick(now, 0);
    }
    void submit(const JobSpec &job, BootTime now)
    {
        const RowWrite write = cells::jobWrite("svc", job);
        owner.applyJobRow({write.key, write.value, 1, false}, now);
        store(now);
    }
    void store(BootTime now)
    {
        while (owner.prepareCommit(now))
            owner.commitApplied(now);
    }
    int run(const std::string &job) const
    {
        return owner.jobs().at(job).occurrences().at(0)[0][0].run;
    }
};

} // namespace

// Guards against a loop of placements and refusals between owner and agent.
TEST_CASE("a minion gets no run for half a second after a start was refused there for want of room")
{
    SmallMinion cell;
    cell.report(start);
    cell.submit(smallJob("a"), start);
    REQUIRE(cell.run("a") == 1);
    BootTime now = start;
    for (; now < start + Milliseconds(2000); now += Milliseconds(20)) {
        const auto orders = cell.owner.reply("agent", now, true).orders;
        cell.request.ends.clear();
        if (!orders.empty()) {
            cell.request.orderSeen = orders.back().sequence;
            cell.request.ends = {{0, orders.back().run, RunOutcome::Absent, "", noRoomReason}};
        }
        cell.report(now);
        cell.store(now);
    }
    CHECK(cell.run("a") >= 4);
    CHECK(cell.run("a") <= 5);
}
