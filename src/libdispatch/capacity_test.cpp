// Tests that the runs on a minion never need more than its capacity, in simulated cells that are
// full.
#include "seed_range.h"
#include "simulated_cell.h"

using namespace lavenderarch;
using lavenderarch::testing::CellFaults;
using lavenderarch::testing::SimulatedCell;

namespace {

/// A job of one step of a kind that depends on `index`: heavy in processors, memory or
/// accelerators, best-effort, or a gang.
JobSpec mixedJob(int index)
{
    static const std::vector<Resources> demands{
        {1500, 300, 0}, {300, 1900, 0}, {500, 900, 1}, {1800, 2600, 0}, {900, 700, 0}};
    JobSpec job;
    job.id = "job" + std::to_string(index);
    job.attempts = 2;
    StepSpec step;
    step.count = 3 + index % 4;
    step.demand = demands[static_cast<std::size_t>(index) % demands.size()];
    step.bestEffort = index % 7 == 3;
    step.gang = index % 7 == 5;
    if (step.gang)
        step.count = 2;
    step.longRunning = index % 11 == 10 && !step.gang;
    if (step.longRunning)
        step.count = 1;
    job.steps = {step, step};
    job.steps[1].after = {0};
    return job;
}

constexpr CellFaults slowStops{.slowStop = 1, .cancel = 60};
constexpr CellFaults allButRestarts{.ownerCrash = 400,
                                    .agentRestart = 500,
                                    .slowStop = 1,
                                    .agentPartition = 900,
                                    .delayedOrder = 15,
                                    .lostCommit = 8,
                                    .lostMessage = 10,
                                    .lateMessage = 10,
                                    .cancel = 60};

CellFaults withRestarts(int otherKind)
{
    CellFaults faults = allButRestarts;
    faults.minionCrash = 500;
    faults.otherKind = otherKind;
    return faults;
}

/// Runs more jobs than the cell has room for under `faults`. SimulatedCell checks each start.
/// Without `guard` the accounts of the owner are the only ones.
void runFull(const CellFaults &faults, bool guard)
{
    int starts = 0;
    int fullStarts = 0;
    int refused = 0;
    const auto [first, last] = lavenderarch::testing::seedRange();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        SimulatedCell cell(seed, 5, faults);
        cell.mixKinds();
        cell.guardStarts = guard;
        for (int job = 0; job < 40; ++job) {
            cell.submit(mixedJob(job));
            cell.advance(Milliseconds(300));
        }
        cell.advance(Milliseconds(8000));
        starts += cell.starts();
        refused += cell.refusedStarts();
        fullStarts += cell.capacityCheck().fullStarts();
    }
    // The load reaches the bound that is checked, and owners hardly order what agents refuse.
    CHECK(fullStarts * 4 > starts);
    CHECK(refused * 100 < starts);
}

} // namespace

TEST_CASE("minions of a full cell get no more than they hold while stops take time")
{
    runFull(slowStops, false);
}
TEST_CASE("minions of a full cell get no more than they hold while owners and agents restart")
{
    runFull(allButRestarts, false);
}
TEST_CASE("minions of a full cell get no more than they hold while minions restart")
{
    runFull(withRestarts(0), false);
}
// Starts that were ordered for a minion reached its next incarnation, of a smaller kind, before
// that had registered.
TEST_CASE("minions of a full cell get no more than they hold while they restart as another kind")
{
    runFull(withRestarts(1), true);
}
TEST_CASE("agents hardly refuse a start that the owner of a full cell has ordered")
{
    runFull(slowStops, true);
    runFull(allButRestarts, true);
}
