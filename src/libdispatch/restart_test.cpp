// Tests about restarts of minions under their id: calls of the former incarnation that reach the
// next one, and agents that do not hear of the restart.
#include "lavenderarch/dispatch/fencing_token.h"
#include "simulated_cell.h"
#include "simulated_seeds.h"

#include <limits>

using namespace lavenderarch;
using lavenderarch::testing::CellFaults;
using lavenderarch::testing::runSeed;
using lavenderarch::testing::runWithFaults;
using lavenderarch::testing::SimulatedMinion;
using lavenderarch::testing::twoSteps;

namespace {

constexpr BootTime start(Milliseconds(50'000));
const MinionIncarnation former{"m", 100'000};
const MinionIncarnation next{"m", 103'000};
const RunKey run{"a.0.0.0", 1};

MinionFacts factsOf(const MinionIncarnation &incarnation)
{
    return {incarnation, "svc", "dc", {"a"}, Resources(4000, 8000, 0), false, 0};
}

MinionListing listingOf(const MinionIncarnation &incarnation, std::int64_t clockMs)
{
    MinionListing listing;
    listing.bornMs = incarnation.bornMs;
    listing.clockMs = clockMs;
    return listing;
}

/// A ledger whose minion has been up for 40 s and holds a lease of 5 s from `start`.
RunLedger leasedLedger()
{
    RunLedger ledger("agent", "s", Milliseconds(SimulatedMinion::longestLeaseMs), start);
    ledger.updateFacts(factsOf(former), 30);
    ExchangeReply reply;
    reply.epoch = 7;
    reply.incarnation = former;
    reply.grantMs = 5000;
    ledger.applyReply(reply, start, start);
    ledger.applyListing(listingOf(former, 40'000), 7, start, start);
    return ledger;
}

} // namespace

// A call of the former incarnation took effect on the next one, since both had the owner's epoch.
TEST_CASE("a fencing token orders by incarnation, then by epoch")
{
    CHECK(fencingToken(former, 8) > fencingToken(former, 7));
    CHECK(fencingToken(next, 1) > fencingToken(former, 2000));
    CHECK(fencingToken(next, 1) > fencingToken(former, 3'000'000));
    // A minion of today and a billion takeovers: exact as a JSON number.
    const std::int64_t today = 1'796'000'000'000;
    CHECK(fencingToken({"m", today}, 1'000'000'000) < std::int64_t{1} << 53);
    CHECK(fencingToken({"m", today + 1}, 3) > fencingToken({"m", today}, 5));
    const std::int64_t most = std::numeric_limits<std::int64_t>::max();
    CHECK(fencingToken({"m", most}, most) == (std::int64_t{1} << 53) - 1);
    CHECK(fencingToken({"m", -5}, -5) == 0);
}

// A renewal, a start and an acknowledgement of the former incarnation took effect on the next one.
TEST_CASE("a minion refuses calls of its former incarnation once it has been called itself")
{
    SimulatedMinion minion;
    minion.onStart = [](const RunKey &) { FAIL("started"); };
    minion.onEnd = [](const RunKey &, RunOutcome) {};
    minion.begin("m", start);
    const RunLedger::Lease lease{start + Milliseconds(5000), 45'000};
    REQUIRE(minion.renew(std::nullopt, fencingToken(next, 1), 0, start));
    CHECK_FALSE(minion.renew(lease, fencingToken(former, 7), 12, start));
    CHECK(minion.start(run, fencingToken(former, 7), lease.untilMinionMs, Milliseconds(100),
                       RunOutcome::Done, start) == OrderAnswer::Fenced);
    CHECK(minion.leaseUntilMs() == 0);
    CHECK(minion.renew(lease, fencingToken(next, 7), 0, start));
}

// The agent ignored such a listing, and renewed with the clock of the former incarnation for as
// long as the check-ins of the next one were lost.
TEST_CASE("a listing of a later incarnation is a restart of the minion")
{
    RunLedger ledger = leasedLedger();
    REQUIRE(ledger.lease(start));
    ledger.applyListing(listingOf(next, 200), 7, start, start);
    CHECK(ledger.facts().incarnation == next);
    CHECK_FALSE(ledger.reachable());
    CHECK_FALSE(ledger.lease(start));
    CHECK(ledger.endsToDiscard() == 0);
    const ExchangeRequest message = ledger.nextMessage(0, start);
    CHECK_FALSE(message.brief);
    CHECK_FALSE(message.reachable);
    CHECK(message.facts.incarnation == next);
    CHECK(message.facts.draining); // takes no runs before its registration tells what fits
    // From its next answer on it gets leases, in its own clock.
    ledger.applyListing(listingOf(next, 300), 7, start, start);
    CHECK(ledger.reachable());
    CHECK(ledger.lease(start)->untilMinionMs == 5300);
    CHECK_FALSE(ledger.updateFacts(factsOf(former), 31));
    CHECK(ledger.updateFacts(factsOf(next), 1));
    CHECK(ledger.facts() == factsOf(next));
    CHECK(ledger.reachable());
}

// A minion that does not answer may have restarted, and takes an extension for the longest lease.
TEST_CASE("a lease is repeated but not extended while the minion does not answer")
{
    RunLedger ledger = leasedLedger();
    const auto sent = ledger.lease(start);
    REQUIRE(sent);
    ledger.renewalSent(*sent);
    ledger.renewalFailed(start);
    ExchangeReply reply;
    reply.epoch = 7;
    reply.incarnation = former;
    reply.grantMs = 5000;
    ledger.applyReply(reply, start + Milliseconds(900), start + Milliseconds(900));
    CHECK(ledger.lease(start + Milliseconds(900))->untilMinionMs == sent->untilMinionMs);
    ledger.applyListing(listingOf(former, 41'000), 7, start, start + Milliseconds(1000));
    CHECK(ledger.lease(start + Milliseconds(1000))->untilMinionMs == 45'900);
}

// Its next incarnation numbers its ends from 1 again, and discarded ends that nobody had read.
TEST_CASE("a minion that does not answer is told to discard no ends")
{
    RunLedger ledger = leasedLedger();
    MinionListing listing = listingOf(former, 40'100);
    listing.ends.push_back({3, run, RunOutcome::Done, "", ""});
    ledger.applyListing(listing, 7, start, start);
    ExchangeReply reply;
    reply.epoch = 7;
    reply.incarnation = former;
    reply.endsSeen = 3;
    ledger.applyReply(reply, start, start);
    CHECK(ledger.endsToDiscard() == 3);
    ledger.renewalFailed(start);
    CHECK(ledger.endsToDiscard() == 0);
}

// Starts went on to a minion of which another incarnation answered.
TEST_CASE("a listing of an earlier incarnation shows that the registered one does not answer")
{
    RunLedger ledger = leasedLedger();
    REQUIRE(ledger.reachable());
    ledger.applyListing(listingOf({former.id, former.bornMs - 1}, 40'100), 7, start, start);
    CHECK_FALSE(ledger.reachable());
    CHECK(ledger.facts().incarnation == former);
}

// Runs were reported as absent at once when a renewal failed before the first lease was sent.
TEST_CASE("runs of a restarted minion are absent only after the longest lease")
{
    RunLedger ledger = leasedLedger();
    ledger.applyListing(listingOf(next, 200), 7, start, start);
    MinionListing listing = listingOf(next, 300);
    listing.active.push_back({run, "", 10, 0});
    ledger.applyListing(listing, 7, start, start);
    // SimulatedMinion::longestLeaseMs on a clock that is 2 % slow.
    for (const int silentMs : {100, 5700}) {
        ledger.renewalFailed(start + Milliseconds(silentMs));
        CHECK(ledger.runs().count(run) == 1);
    }
    ledger.renewalFailed(start + Milliseconds(10'100));
    CHECK(ledger.runs().empty());
}

// A new session reported the runs that it had adopted as absent before it was granted a lease.
TEST_CASE("a session without a grant does not tell when a lease has lapsed")
{
    RunLedger ledger("agent", "s2");
    ledger.updateFacts(factsOf(former), 30);
    MinionListing listing = listingOf(former, 40'000);
    listing.active.push_back({run, "", 10, 0});
    ledger.applyListing(listing, 7, start, start);
    ledger.renewalFailed(start + Milliseconds(100));
    CHECK(ledger.runs().count(run) == 1);
}

// The owner assumed the lease that it grants, but a call of the former incarnation may have given
// the next one the longest lease until that had answered.
TEST_CASE("the owner waits for the longest lease of a restarted minion")
{
    CellDispatcher owner("svc", {}, 1);
    auto catalog = std::make_shared<QueueCatalog>();
    catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
    catalog->services.insert("svc");
    owner.setCatalog(catalog);
    ExchangeRequest request;
    request.agent = "agent";
    request.session = "s";
    request.epoch = 1;
    request.registered = request.reachable = request.listed = true;
    request.facts = factsOf(former);
    BootTime now = start;
    const auto send = [&] {
        ++request.number;
        owner.handleRequest(request, now, true);
    };
    send();
    JobSpec job = twoSteps("a", 1);
    job.service = "svc";
    job.queue = "q";
    const RowWrite write = cells::jobWrite("svc", job);
    owner.applyJobRow({write.key, write.value, 1, false}, now);
    REQUIRE(owner.prepareCommit(now));
    owner.commitApplied(now);
    REQUIRE(owner.minions().at("agent").runs.size() == 1);
    now += Milliseconds(20'000);
    request.facts = factsOf(next);
    request.reachable = request.listed = false;
    send();
    now += Milliseconds(100);
    request.reachable = true;
    send();
    // 5.556 s on a clock that is 2 % slow; the lease that the owner grants would be over.
    now += Milliseconds(5668);
    owner.tick(now, 0);
    CHECK(owner.minions().at("agent").runs.size() == 1);
    now += Milliseconds(400);
    owner.tick(now, 0);
    CHECK(owner.minions().at("agent").runs.empty());
}

// A lease in the clock of the former incarnation is the longest there is on the next one, and was
// repeated there until a check-in arrived.
TEST_CASE("jobs complete while the check-ins of restarted minions are lost")
{
    runWithFaults({.ownerCrash = 2000,
                   .minionCrash = 500,
                   .agentPartition = 900,
                   .delayedOrder = 8,
                   .lostCheckIns = 400});
}
// Calls of the former incarnation are carried out by the next one.
TEST_CASE("jobs complete while calls to minions are carried out late")
{
    runWithFaults({.minionCrash = 500, .lateCall = 20, .lostAnswer = 20});
}
const CellFaults restartFaults{.ownerCrash = 500,
                               .agentRestart = 600,
                               .minionCrash = 700,
                               .agentPartition = 900,
                               .lostCommit = 8,
                               .lostMessage = 10,
                               .lateMessage = 10,
                               .lateCall = 30,
                               .lostAnswer = 30,
                               .lostCheckIns = 600,
                               .cancel = 200};

TEST_CASE("jobs complete while minions restart, calls are late and check-ins are lost")
{
    runWithFaults(restartFaults, true);
}
TEST_CASE("jobs complete while minions restart, calls are late and check-ins are lost: regression")
{
    // A new session of an agent without a grant reported the runs that it had adopted as absent
    // when a renewal was not answered, so that they ran twice.
    runSeed(42, restartFaults, true);
}
