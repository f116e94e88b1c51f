// Tests of what a new session of an agent assumes about the leases that former sessions sent.
#include "seed_range.h"
#include "simulated_cell.h"

using namespace lavenderarch;
using lavenderarch::testing::SimulatedCell;

namespace {

constexpr BootTime start(Milliseconds(50'000));
const RunKey run{"a.0.0.0", 1};

BootTime after(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

/// The ledger of a session that began at `start` and has adopted a run from its first listing.
/// Former sessions have sent leases of at most 5 s.
RunLedger adoptedRun()
{
    RunLedger ledger("agent", "s2", Milliseconds(5000), start);
    ledger.updateFacts({{"m", 1}, "svc", "dc", {}, Resources(4000, 8000, 0), false, 0}, 1);
    MinionListing listing;
    listing.bornMs = 1;
    listing.clockMs = 80'000;
    listing.active.push_back({run, "", 40, 0});
    ledger.applyListing(listing, 0, after(100), after(110));
    REQUIRE(ledger.runs().count(run) == 1);
    return ledger;
}

JobSpec fourTasks(const std::string &id)
{
    JobSpec job;
    job.id = id;
    job.attempts = 2;
    job.steps.emplace_back();
    job.steps[0].count = 4;
    job.steps[0].demand = Resources(800, 200, 0);
    return job;
}

} // namespace

// Guards against two runs of a task at once: the owner places the task again while the lease of the
// former session keeps its run going.
TEST_CASE("a new session does not report runs as absent while a former lease may be in force")
{
    RunLedger ledger = adoptedRun();
    ledger.renewalFailed(after(600));
    CHECK(ledger.runs().count(run) == 1);
    CHECK(ledger.snapshot(0).ends.empty());
    // A clock that is 2 % slow has counted 5000 ms after 5103 ms.
    ledger.renewalFailed(after(5103));
    CHECK(ledger.runs().count(run) == 1);
    // Before the first listing, at 110 ms, a call that was meant for a former incarnation may have
    // given a lease of 5000 ms.
    ledger.renewalFailed(after(5212));
    CHECK(ledger.runs().count(run) == 1);
    ledger.renewalFailed(after(5500));
    REQUIRE(ledger.snapshot(0).ends.size() == 1);
    CHECK(ledger.snapshot(0).ends[0].outcome == RunOutcome::Absent);
}

// Guards against the same failure by a lease that a start order has carried to the minion.
TEST_CASE("a lease sent with a start counts before its runs are reported as absent")
{
    RunLedger ledger = adoptedRun();
    ExchangeReply reply;
    reply.epoch = 2;
    reply.grantMs = 5000;
    ledger.applyReply(reply, after(1000), after(1010));
    const auto lease = ledger.lease(after(1100));
    REQUIRE(lease);
    ledger.renewalSent(*lease);
    ledger.renewalFailed(after(6100));
    CHECK(ledger.runs().count(run) == 1);
    ledger.renewalFailed(after(6400));
    CHECK(ledger.runs().empty());
}

TEST_CASE("a session that does not know the former leases reports no run of a silent minion")
{
    RunLedger ledger("agent", "s2");
    ledger.updateFacts({{"m", 1}, "svc", "dc", {}, Resources(4000, 8000, 0), false, 0}, 1);
    MinionListing listing;
    listing.active.push_back({run, "", 40, 0});
    ledger.applyListing(listing, 0, after(100), after(110));
    ledger.renewalFailed(after(60'000));
    CHECK(ledger.runs().count(run) == 1);
}

// All faults but restarts of minions.
TEST_CASE("jobs complete while sessions change and messages, answers and orders are late or lost")
{
    const auto [first, last] = lavenderarch::testing::seedRange();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        SimulatedCell cell(seed, 5,
                           {.ownerCrash = 300,
                            .agentRestart = 200,
                            .agentPartition = 400,
                            .silentMinion = 150,
                            .delayedOrder = 15,
                            .lostCommit = 8,
                            .lateReply = 20,
                            .lostMessage = 10,
                            .lateMessage = 10});
        for (int job = 0; job < 12; ++job) {
            cell.submit(fourTasks("job" + std::to_string(job)));
            cell.advance(Milliseconds(1500));
        }
        cell.setFaults({});
        cell.advance(Milliseconds(40'000));
        for (int job = 0; job < 12; ++job)
            CHECK(cell.phase("job" + std::to_string(job)) == JobPhase::Done);
        CHECK(cell.activeRuns() == 0);
    }
}

// Guards against the same failure in a whole cell: agents that restart while their minion does not
// answer, without an owner that grants a lease at once.
TEST_CASE("jobs complete while agents restart and their minions are silent")
{
    const auto [first, last] = lavenderarch::testing::seedRange();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        SimulatedCell cell(seed, 5, {.ownerCrash = 400, .agentRestart = 150, .silentMinion = 100});
        for (int job = 0; job < 12; ++job) {
            cell.submit(fourTasks("job" + std::to_string(job)));
            cell.advance(Milliseconds(1500));
        }
        cell.setFaults({});
        cell.advance(Milliseconds(40'000));
        for (int job = 0; job < 12; ++job)
            CHECK(cell.phase("job" + std::to_string(job)) == JobPhase::Done);
        CHECK(cell.activeRuns() == 0);
    }
}
