// Tests of the agent's guard of its minion's capacity.
#include "lavenderarch/dispatch/run_ledger.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

using Verdict = StartDecision::Verdict;

/// A ledger of a minion with 1000 millicores, 1000 MiB and 2 accelerators.
struct Guard
{
    RunLedger ledger{"agent", "s"};
    MinionListing listing;
    BootTime now{Milliseconds(50'000)};
    std::int64_t sequence = 0;
    std::int64_t epoch = 1;

    Guard()
    {
        registerMinion(1, Resources(1000, 1000, 2));
        list();
    }
    void registerMinion(std::int64_t bornMs, const Resources &capacity)
    {
        ledger.updateFacts({{"m", bornMs}, "svc", "dc", {}, capacity, false, 0}, 1);
    }
    void list()
    {
        now += Milliseconds(100);
        listing.bornMs = listing.bornMs == 0 ? 1 : listing.bornMs;
        ledger.applyListing(listing, epoch, now - Milliseconds(1), now);
    }
    void order(OrderKind kind, const RunKey &run, const Resources &demand, bool bestEffort = false)
    {
        ExchangeReply reply;
        reply.epoch = epoch;
        reply.incarnation = ledger.facts().incarnation;
        reply.grantMs = 5000;
        RunOrder order;
        order.sequence = ++sequence;
        order.kind = kind;
        order.run = run;
        order.bestEffort = bestEffort;
        order.milliCores = demand.milliCores();
        order.memoryMib = demand.memoryMib();
        order.accelerators = demand.accelerators();
        reply.orders = {order};
        ledger.applyReply(reply, now, now);
    }
    Verdict start(const RunKey &run, const Resources &demand, bool bestEffort = false)
    {
        order(OrderKind::Start, run, demand, bestEffort);
        return ledger.decideStart(run).verdict;
    }
};

const RunKey first{"a.0.0.0", 1};
const RunKey second{"a.0.0.1", 1};
const Resources most(600, 600, 1);

} // namespace

// An agent sent each start that the owner had ordered, whatever ran on its minion.
TEST_CASE("a start that does not fit beside what is on the minion is refused")
{
    for (const Resources &demand :
         {Resources(500, 100, 0), Resources(100, 500, 0), Resources(100, 100, 2)}) {
        CAPTURE(demand.text());
        Guard guard;
        CHECK(guard.start(first, most) == Verdict::Send); // no answer to the start yet
        CHECK(guard.start(second, demand) == Verdict::Refuse);
        guard.ledger.startConfirmed(first, guard.now);
        CHECK(guard.start(second, demand) == Verdict::Refuse);
        const StartDecision decision = guard.ledger.decideStart(second);
        CHECK(decision.reason == noRoomReason);
        CHECK(decision.committed == most);
        CHECK(decision.demand == demand);
        CHECK(decision.capacity == Resources(1000, 1000, 2));
    }
    Guard guard;
    CHECK(guard.start(first, most) == Verdict::Send);
    CHECK(guard.start(second, Resources(400, 400, 1)) == Verdict::Send);
}

TEST_CASE("a best-effort run counts with its memory and accelerators, not with its processors")
{
    Guard guard;
    CHECK(guard.start(first, most, true) == Verdict::Send);
    CHECK(guard.start(second, Resources(1000, 400, 1)) == Verdict::Send);
    CHECK(guard.start({"a.0.0.2", 1}, Resources(500, 100, 0), true) == Verdict::Refuse);
}

TEST_CASE("a start that has not been sent takes no room, and a repeated one fits beside itself")
{
    Guard guard;
    guard.order(OrderKind::Start, first, most);
    CHECK(guard.start(second, most) == Verdict::Send);
    CHECK(guard.ledger.decideStart(second).verdict == Verdict::Send);
    CHECK(guard.ledger.decideStart(first).verdict == Verdict::Refuse);
}

TEST_CASE("a run that is being stopped counts until its end is listed")
{
    Guard guard;
    guard.start(first, most);
    guard.ledger.startConfirmed(first, guard.now);
    guard.listing.active = {{first, "", 50, 0}};
    guard.list();
    guard.order(OrderKind::Stop, first, most);
    guard.ledger.stopConfirmed(first, guard.now);
    guard.list();
    CHECK(guard.start(second, most) == Verdict::Refuse);
    guard.listing.active.clear();
    guard.listing.ends = {{1, first, RunOutcome::Stopped, "", ""}};
    guard.list();
    CHECK(guard.ledger.decideStart(second).verdict == Verdict::Send);
}

TEST_CASE("no start is sent until all listed runs are described")
{
    Guard guard;
    guard.listing.active = {{first, "", 50, 0}};
    guard.list();
    CHECK(guard.start(second, Resources(100, 100, 0)) == Verdict::Refuse);
    guard.order(OrderKind::Describe, first, most);
    CHECK(guard.ledger.decideStart(second).verdict == Verdict::Send);
    CHECK(guard.start({"a.0.0.2", 1}, most) == Verdict::Refuse);
}

TEST_CASE("a start of an unknown run that may still take effect counts while it is stopped")
{
    Guard guard;
    guard.order(OrderKind::Stop, first, most);
    CHECK(guard.start(second, most) == Verdict::Refuse);
    guard.ledger.stopConfirmed(first, guard.now);
    guard.list();
    CHECK(guard.ledger.decideStart(second).verdict == Verdict::Send);
}

TEST_CASE("a stop of a run whose end the owner has not read takes no room")
{
    Guard guard;
    guard.listing.ends = {{1, first, RunOutcome::Done, "", ""}};
    guard.list();
    guard.order(OrderKind::Stop, first, most);
    CHECK(guard.start(second, most) == Verdict::Send);
}

// Starts went to the next incarnation of a minion, of a smaller kind, before it had registered.
TEST_CASE("no start is sent while another incarnation or none answers")
{
    Guard guard;
    guard.order(OrderKind::Start, first, most);
    guard.listing.bornMs = 2;
    guard.list();
    CHECK_FALSE(guard.ledger.reachable());
    CHECK(guard.ledger.decideStart(first).verdict == Verdict::Wait);
    guard.registerMinion(2, Resources(500, 500, 0));
    CHECK(guard.start(second, most) == Verdict::Wait);
    guard.list();
    CHECK(guard.ledger.decideStart(second).verdict == Verdict::Refuse);
    CHECK(guard.start({"a.0.0.2", 1}, Resources(500, 500, 0)) == Verdict::Send);
    guard.ledger.renewalFailed(guard.now);
    CHECK(guard.start({"a.0.0.3", 1}, Resources(0, 0, 0)) == Verdict::Wait);
}

// Owners of an earlier version state no memory.
TEST_CASE("an owner that does not state demands is followed, and the next one is asked for them")
{
    Guard guard;
    const Resources unstated(600, -1, 0);
    CHECK(guard.start(first, unstated) == Verdict::Send);
    CHECK(guard.start(second, unstated) == Verdict::Send);
    guard.listing.active = {{first, "", 50, 0}, {second, "", 50, 0}};
    guard.list();
    for (const RunReport &report : guard.ledger.snapshot(0).runs)
        CHECK_FALSE(report.undescribed);
    ++guard.epoch;
    guard.sequence = 0;
    CHECK(guard.start({"a.0.0.2", 1}, most) == Verdict::Refuse);
    int undescribed = 0;
    for (const RunReport &report : guard.ledger.snapshot(0).runs)
        undescribed += report.undescribed ? 1 : 0;
    CHECK(undescribed == 2);
}
