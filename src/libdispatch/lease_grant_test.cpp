// Tests that the owner counts each lease that it grants, and replies only to the current session.
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/queue_catalog.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

constexpr BootTime start(Milliseconds(50'000));
const RunKey run{"a.0.0.0", 1};

BootTime after(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

JobSpec oneTask(const std::string &id)
{
    JobSpec job;
    job.id = id;
    job.service = "svc";
    job.queue = "q";
    job.steps.emplace_back();
    job.steps[0].demand = Resources(800, 200, 0);
    return job;
}

/// An owner with a lease of 5 s, and the messages of an agent whose minion is registered.
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
        request.session = "s1";
        request.epoch = 1;
        request.registered = request.reachable = request.listed = true;
        request.facts = {{"m", 1}, "svc", "dc", {}, Resources(4000, 8000, 0), false, 0};
    }
    /// Sends the next message, and returns it.
    ExchangeRequest send(BootTime now, bool mayGrant = true)
    {
        ++request.number;
        owner.handleRequest(request, now, mayGrant);
        return request;
    }
    void place(const std::string &job, BootTime now)
    {
        const RowWrite write = cells::jobWrite("svc", oneTask(job));
        owner.applyJobRow({write.key, write.value, 1, false}, now);
        REQUIRE(owner.prepareCommit(now));
        owner.commitApplied(now);
    }
    TaskPhase phase() const { return owner.jobs().at("a").occurrences().at(0)[0][0].phase; }
};

} // namespace

// Guards against two runs of a task at once: the owner ends a run on a minion whose lease it has
// granted, but not counted, since it became sure of its ownership only after the request arrived.
TEST_CASE("a lease that is granted after its request arrived without one is counted")
{
    OneMinion cell;
    cell.send(start);
    cell.place("a", start);
    const ExchangeRequest late = cell.send(after(4000), false);
    REQUIRE(cell.owner.reply(late, after(4000), true).grantMs == 5000);
    cell.owner.tick(after(8900), 0);
    CHECK(cell.phase() == TaskPhase::Placed);
    cell.owner.tick(after(9500), 0);
    CHECK(cell.phase() == TaskPhase::Waiting);
}

// Guards against the same failure on a minion of which the owner has not heard before.
TEST_CASE("a minion that is first heard without a grant may hold a lease of a former owner")
{
    OneMinion cell;
    cell.owner.assumeLeases(start);
    cell.send(after(10), false);
    cell.place("a", after(20));
    cell.owner.tick(after(30), 0);
    CHECK(cell.phase() == TaskPhase::Placed);
}

// Guards against a grant and orders for a session that the owner no longer counts: its poll waits
// while a late message of the former session arrives.
TEST_CASE("a reply to another session than the current one has no lease and no orders")
{
    OneMinion cell;
    const ExchangeRequest former = cell.send(start);
    cell.request.session = "s2";
    cell.request.number = 0;
    const ExchangeRequest poll = cell.send(after(100));
    cell.place("a", after(110));
    ExchangeRequest late = former;
    late.number = 2;
    cell.owner.handleRequest(late, after(200), true);
    const ExchangeReply reply = cell.owner.reply(poll, after(100), true);
    CHECK(reply.grantMs == 0);
    CHECK(reply.orders.empty());
    CHECK(reply.snapshotSeen == 0);
}

// Guards against a task that stays in Stopping: the agent takes a new order for one that it has
// executed, if numbers start anew when a session comes back after a late message of a former one.
TEST_CASE("order numbers rise when the session of an agent changes")
{
    OneMinion cell;
    cell.send(start);
    cell.place("a", start);
    const ExchangeReply first = cell.owner.reply(cell.request, start, true);
    REQUIRE(first.orders.size() == 1);
    cell.request.orderSeen = first.orders[0].sequence;
    ExchangeRequest other = cell.request;
    other.session = "s0";
    cell.owner.handleRequest(other, after(100), true);
    // The agent does not report the run, so that the owner orders its stop.
    cell.send(after(200));
    const ExchangeReply second = cell.owner.reply(cell.request, after(200), true);
    REQUIRE(second.orders.size() == 1);
    CHECK(second.orders[0].kind == OrderKind::Stop);
    CHECK(second.orders[0].sequence > first.orders[0].sequence);
}

// Guards against a start after the end `done` of an earlier run of the task, which the owner has
// given up, and which it acknowledges.
TEST_CASE("a task whose lapsed run turns out to be done is not placed again")
{
    OneMinion cell;
    cell.send(start);
    cell.place("a", start);
    cell.request.orderSeen = cell.owner.reply(cell.request, start, true).orders.at(0).sequence;
    cell.owner.tick(after(6000), 0);
    REQUIRE(cell.phase() == TaskPhase::Waiting);
    cell.request.ends.push_back({1, run, RunOutcome::Done, "", ""});
    cell.send(after(6100));
    CHECK(cell.phase() == TaskPhase::Done);
    // The end is acknowledged once it is stored.
    CHECK(cell.owner.reply(cell.request, after(6100), true).endsSeen == 0);
    REQUIRE(cell.owner.prepareCommit(after(6100)));
    cell.owner.commitApplied(after(6120));
    CHECK(cell.owner.reply(cell.request, after(6130), true).endsSeen == 1);
    CHECK(cell.owner.reply(cell.request, after(6130), true).orders.empty());
}

// A run of a task that has been placed again does not end it: the newer run is active.
TEST_CASE("a late end does not change a task that has been placed again")
{
    OneMinion cell;
    cell.send(start);
    cell.place("a", start);
    cell.request.orderSeen = cell.owner.reply(cell.request, start, true).orders.at(0).sequence;
    cell.owner.tick(after(6000), 0);
    cell.send(after(6100));
    REQUIRE(cell.owner.prepareCommit(after(6100)));
    cell.owner.commitApplied(after(6120));
    REQUIRE(cell.phase() == TaskPhase::Placed);
    cell.request.ends.push_back({1, run, RunOutcome::Failed, "", ""});
    cell.send(after(6200));
    CHECK(cell.phase() == TaskPhase::Placed);
}
