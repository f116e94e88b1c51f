// Tests of listings that do not hold all ends of the minion's runs.
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

/// The ledger of an agent whose minion has listed the run.
RunLedger listedRun()
{
    RunLedger ledger("agent", "s");
    ledger.updateFacts({{"m", 1}, "svc", "dc", {}, Resources(4000, 8000, 0), false, 0}, 1);
    MinionListing listing;
    listing.active.push_back({run, "", 40, 0});
    ledger.applyListing(listing, 0, start, after(10));
    return ledger;
}

/// A listing with the end of another run, and no room for that of `run`.
MinionListing fullPage()
{
    MinionListing listing;
    listing.ends.push_back({1, {"b.0.0.0", 1}, RunOutcome::Done, "", ""});
    listing.complete = false;
    return listing;
}

} // namespace

// Guards against a second run of a task that is done: its end was beyond the page, so that the
// owner stopped the run, took it for absent and placed it again.
TEST_CASE("a full page of ends proves nothing about a run that is in neither list")
{
    RunLedger ledger = listedRun();
    ledger.applyListing(fullPage(), 0, after(100), after(110));
    CHECK(ledger.runs().count(run) == 1);
    MinionListing next;
    next.ends.push_back({2, run, RunOutcome::Done, "", ""});
    ledger.applyListing(next, 0, after(200), after(210));
    CHECK(ledger.runs().empty());
    CHECK(ledger.snapshot(0).ends.size() == 2);
}

TEST_CASE("a full page of ends does not show that a stopped run never ran")
{
    RunLedger ledger = listedRun();
    ExchangeReply reply;
    reply.epoch = 1;
    reply.incarnation = {"m", 1};
    reply.orders.emplace_back();
    reply.orders[0].sequence = 1;
    reply.orders[0].kind = OrderKind::Stop;
    reply.orders[0].run = run;
    REQUIRE(ledger.applyReply(reply, after(20), after(30)).size() == 1);
    ledger.stopConfirmed(run, after(50));
    ledger.applyListing(fullPage(), 1, after(100), after(110));
    CHECK(ledger.runs().count(run) == 1);
    CHECK(ledger.snapshot(0).ends.size() == 1);
    MinionListing next = fullPage();
    next.complete = true;
    ledger.applyListing(next, 1, after(200), after(210));
    CHECK(ledger.runs().empty());
    CHECK(ledger.snapshot(0).ends.size() == 2);
}

// Guards against the same failure in a whole cell, with pages of one end.
TEST_CASE("jobs complete while minions have more ends than a listing holds")
{
    const auto [first, last] = lavenderarch::testing::seedRange();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        SimulatedCell cell(seed, 3, {.ownerCrash = 400, .agentPartition = 200});
        for (std::size_t index = 0; index < 3; ++index)
            cell.minion(index).endsPerListing = 1;
        for (int job = 0; job < 12; ++job) {
            JobSpec spec;
            spec.id = "job" + std::to_string(job);
            spec.steps.emplace_back();
            spec.steps[0].count = 6;
            spec.steps[0].demand = Resources(500, 200, 0);
            cell.submit(spec);
            cell.advance(Milliseconds(1000));
        }
        cell.setFaults({});
        cell.advance(Milliseconds(60'000));
        for (int job = 0; job < 12; ++job)
            CHECK(cell.phase("job" + std::to_string(job)) == JobPhase::Done);
        CHECK(cell.activeRuns() == 0);
    }
}
