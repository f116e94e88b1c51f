// Tests that no task starts later after a cancellation or an evacuation than the limits allow.
#include "simulated_cell.h"

using namespace lavenderarch;
using lavenderarch::testing::CellFaults;
using lavenderarch::testing::SimulatedCell;

namespace {

constexpr BootTime start(Milliseconds(50'000));
const RunKey run{"a.0.0.0", 1};

JobSpec oneTask()
{
    JobSpec job;
    job.id = "a";
    job.service = "svc";
    job.queue = "q";
    job.steps.emplace_back();
    job.steps[0].demand = Resources(800, 200, 0);
    return job;
}

/// Runs jobs under `faults`, of which many are cancelled; SimulatedCell checks their starts.
void runCancelled(const CellFaults &faults)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        SimulatedCell cell(seed, 5, faults);
        for (int index = 0; index < 30; ++index) {
            JobSpec job = oneTask();
            job.id = "job" + std::to_string(index);
            job.steps[0].count = 4;
            cell.submit(job);
            cell.advance(Milliseconds(500));
        }
        cell.setFaults({});
        cell.advance(Milliseconds(40'000));
        for (int index = 0; index < 30; ++index) {
            const JobPhase phase = cell.phase("job" + std::to_string(index));
            const bool ended = phase == JobPhase::Done || phase == JobPhase::Cancelled;
            CHECK_MESSAGE(ended, "job ", index, " did not end");
        }
        CHECK(cell.activeRuns() == 0);
    }
}

/// The ledger of an agent whose minion is registered.
RunLedger registeredLedger()
{
    RunLedger ledger("agent", "s");
    ledger.updateFacts({{"m", 1}, "svc", "dc", {}, Resources(4000, 8000, 0), false, 0}, 1);
    return ledger;
}

ExchangeReply startReply(std::int64_t startWithinMs)
{
    ExchangeReply reply;
    reply.epoch = 1;
    reply.incarnation = {"m", 1};
    reply.grantMs = 5000;
    reply.orders.emplace_back();
    reply.orders[0].sequence = 1;
    reply.orders[0].run = run;
    reply.orders[0].startWithinMs = startWithinMs;
    return reply;
}

/// A dispatcher with one registered minion, on which the task of oneTask() is placed.
struct PlacedTask
{
    CellDispatcher owner;
    RunLedger ledger = registeredLedger();

    explicit PlacedTask(const DispatchLimits &limits)
        : owner("svc", limits, 1)
    {
        auto catalog = std::make_shared<QueueCatalog>();
        catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
        catalog->services.insert("svc");
        owner.setCatalog(catalog);
        ledger.applyListing({}, 0, start, start);
        owner.handleRequest(ledger.snapshot(0), start, true);
        const RowWrite write = cells::jobWrite("svc", oneTask());
        owner.applyJobRow({write.key, write.value, 1, false}, start);
        REQUIRE(owner.prepareCommit(start));
        owner.commitApplied(start);
    }
    std::int64_t startWithinMs(BootTime arrived)
    {
        const ExchangeReply reply = owner.reply("agent", arrived, true);
        REQUIRE(reply.orders.size() == 1);
        return reply.orders[0].startWithinMs;
    }
};

} // namespace

// Guards against a start seconds after the acknowledged cancellation when a reply arrives late.
TEST_CASE("no task starts after its cancellation while replies of the owner are late")
{
    runCancelled({.lateReply = 3, .cancel = 15});
}

// Guards against a start seconds after a cancellation that the owner has not read yet.
TEST_CASE("no task starts after its cancellation while the owner reads its inbox late")
{
    runCancelled({.lateReply = 3, .lateInbox = 60, .cancel = 15});
}

// Guards against a start that an agent sends although its decision is too old.
TEST_CASE("the agent reports a start as absent when it receives it after its deadline")
{
    RunLedger ledger = registeredLedger();
    CHECK(ledger.applyReply(startReply(500), start, start + Milliseconds(500)).empty());
    const ExchangeRequest request = ledger.snapshot(0);
    REQUIRE(request.ends.size() == 1);
    CHECK(request.ends[0].outcome == RunOutcome::Absent);
    CHECK(request.ends[0].run == run);
    CHECK(request.orderSeen == 1);
}

TEST_CASE("the deadline of a start counts from the request; without one it is the lease's end")
{
    RunLedger limited = registeredLedger();
    CHECK(limited.applyReply(startReply(500), start, start + Milliseconds(499)).size() == 1);
    CHECK(limited.startBy(run) == start + Milliseconds(500));
    RunLedger unlimited = registeredLedger();
    CHECK(unlimited.applyReply(startReply(-1), start, start + Milliseconds(4000)).size() == 1);
    CHECK(unlimited.startBy(run) == start + Milliseconds(5000));
}

TEST_CASE("the oldest input of the owner limits a start")
{
    PlacedTask placed({.cancelMs = 4000, .evacuateMs = 5000});
    placed.owner.setInboxTime(start);
    placed.owner.setEvacuationsTime(start);
    CHECK(placed.startWithinMs(start) == 4000);
    CHECK(placed.startWithinMs(start + Milliseconds(1500)) == 2500);
    CHECK(placed.startWithinMs(start + Milliseconds(9000)) == 0);
    placed.owner.setInboxTime(start + Milliseconds(3000));
    CHECK(placed.startWithinMs(start + Milliseconds(3000)) == 2000);
}

TEST_CASE("a start that waits in the outbox when its data centre is evacuated is refused")
{
    PlacedTask placed({.cancelMs = 4000, .evacuateMs = 5000});
    placed.owner.setInboxTime(start);
    placed.owner.setEvacuationsTime(start);
    placed.owner.setClosedDataCentres({"dc"});
    CHECK(placed.startWithinMs(start) == 0);
}

TEST_CASE("without limits a start has no deadline")
{
    PlacedTask placed({});
    CHECK(placed.startWithinMs(start + Milliseconds(90'000)) == -1);
    CHECK(placed.owner.canStartInTime(start + Milliseconds(90'000)));
}

TEST_CASE("an owner whose inputs are too old for a start in time places nothing")
{
    CellDispatcher owner("svc", {.cancelMs = 3000, .evacuateMs = 5000}, 1);
    owner.setEvacuationsTime(start);
    CHECK_FALSE(owner.canStartInTime(start));
    owner.setInboxTime(start);
    CHECK(owner.canStartInTime(start + Milliseconds(2500)));
    CHECK_FALSE(owner.canStartInTime(start + Milliseconds(2501)));
    owner.setInboxTime(start + Milliseconds(4000));
    CHECK(owner.canStartInTime(start + Milliseconds(4500)));
    CHECK_FALSE(owner.canStartInTime(start + Milliseconds(4501)));
}

// Guards against two runs of a task at once: the agent was frozen before it read the reply, and the
// owner has ended the run since, but a newer reply has granted a lease again.
TEST_CASE("a start is not sent after the lease that was granted with it")
{
    RunLedger ledger = registeredLedger();
    ExchangeReply newer = startReply(-1);
    newer.orders.clear();
    ledger.applyReply(newer, start + Milliseconds(7000), start + Milliseconds(7010));
    CHECK(ledger.applyReply(startReply(-1), start, start + Milliseconds(7020)).empty());
    const ExchangeRequest request = ledger.snapshot(0);
    REQUIRE(request.ends.size() == 1);
    CHECK(request.ends[0].outcome == RunOutcome::Absent);
}

// Guards against the same failure when the agent is frozen before it sends the start.
TEST_CASE("a start waits no longer than the lease that was granted with it")
{
    RunLedger ledger = registeredLedger();
    REQUIRE(ledger.applyReply(startReply(-1), start, start + Milliseconds(10)).size() == 1);
    ExchangeReply newer = startReply(-1);
    newer.orders.clear();
    ledger.applyReply(newer, start + Milliseconds(7000), start + Milliseconds(7010));
    CHECK(ledger.startBy(run) == start + Milliseconds(5000));
}

TEST_CASE("a start that comes without a lease is refused")
{
    RunLedger ledger = registeredLedger();
    ExchangeReply granted = startReply(-1);
    granted.orders.clear();
    ledger.applyReply(granted, start, start);
    ExchangeReply without = startReply(-1);
    without.grantMs = 0;
    CHECK(ledger.applyReply(without, start, start + Milliseconds(10)).empty());
    CHECK(ledger.snapshot(0).ends.size() == 1);
}
