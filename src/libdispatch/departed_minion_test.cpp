// Tests of what an agent reports after its minion has deregistered.
#include "lavenderarch/dispatch/run_ledger.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

constexpr BootTime start(Milliseconds(50'000));
const RunKey run{"a.0.0.0", 1};
const RunKey other{"b.0.0.0", 1};

BootTime after(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

MinionFacts facts()
{
    return {{"m", 1}, "svc", "dc", {}, Resources(4000, 8000, 0), false, 0};
}

MinionListing listed(const std::vector<RunKey> &runs)
{
    MinionListing listing;
    listing.bornMs = 1;
    for (const RunKey &each : runs)
        listing.active.push_back({each, "", 40, 0});
    return listing;
}

/// The ledger of an agent whose minion has two runs and has deregistered.
RunLedger departed()
{
    RunLedger ledger("agent", "s", Milliseconds(60'000), start);
    ledger.updateFacts(facts(), 1);
    ledger.applyListing(listed({run, other}), 0, start, after(10));
    ledger.minionLeft("m");
    return ledger;
}

} // namespace

// Guards against a second run of a task whose end was on its way when the minion deregistered.
TEST_CASE("an end that is listed while the minion leaves is reported as it is")
{
    RunLedger ledger = departed();
    CHECK(ledger.snapshot(0).ends.empty());
    MinionListing last = listed({other});
    last.ends.push_back({1, run, RunOutcome::Done, "", ""});
    ledger.applyListing(last, 0, start, after(20));
    ledger.renewalFailed(after(30), true);
    const ExchangeRequest request = ledger.snapshot(0);
    REQUIRE(request.ends.size() == 2);
    CHECK(request.ends[0].run == run);
    CHECK(request.ends[0].outcome == RunOutcome::Done);
    CHECK(request.ends[1].run == other);
    CHECK(request.ends[1].outcome == RunOutcome::Absent);
}

// Guards against two runs of a task at once: the minion runs on for a while, or a deregistration
// arrives late that it has sent before it started again.
TEST_CASE("runs of a minion that has deregistered and still answers or hangs are not absent")
{
    RunLedger ledger = departed();
    ledger.applyListing(listed({run, other}), 0, after(20), after(30));
    ledger.renewalFailed(after(1500), false);
    CHECK(ledger.runs().size() == 2);
    CHECK(ledger.snapshot(0).ends.empty());
    CHECK(ledger.facts().draining);
}

TEST_CASE("a minion that registers again after its deregistration has not left")
{
    RunLedger ledger = departed();
    ledger.updateFacts(facts(), 2);
    CHECK_FALSE(ledger.facts().draining);
    ledger.renewalFailed(after(30), true);
    CHECK(ledger.runs().size() == 2);
}

TEST_CASE("a minion that accepts no connection and has not deregistered may run on")
{
    RunLedger ledger("agent", "s", Milliseconds(60'000), start);
    ledger.updateFacts(facts(), 1);
    ledger.applyListing(listed({run}), 0, start, after(10));
    ledger.renewalFailed(after(30), true);
    CHECK(ledger.runs().size() == 1);
}
