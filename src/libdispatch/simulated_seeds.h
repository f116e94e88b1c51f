// Plays of a simulated cell under faults, one for each seed.
#pragma once

#include "seed_range.h"
#include "simulated_cell.h"

namespace lavenderarch::testing {

inline StepSpec plainStep(int count, std::int64_t milliCores)
{
    StepSpec step;
    step.count = count;
    step.demand = Resources(milliCores, 200, 0);
    return step;
}

inline JobSpec twoSteps(const std::string &id, int count = 4)
{
    JobSpec job;
    job.id = id;
    job.attempts = 2;
    job.steps = {plainStep(count, 800), plainStep(count, 500)};
    job.steps[1].after = {0};
    return job;
}

/// Runs jobs under `faults`, then without faults, after which all jobs must have ended: as done, or
/// with `cancels` also as cancelled.
inline void runSeed(std::uint64_t seed, const CellFaults &faults, bool cancels = false)
{
    CAPTURE(seed);
    SimulatedCell cell(seed, 5, faults);
    for (int job = 0; job < 12; ++job) {
        cell.submit(twoSteps("job" + std::to_string(job)));
        cell.advance(Milliseconds(1500));
    }
    cell.setFaults({});
    cell.advance(Milliseconds(40'000));
    for (int job = 0; job < 12; ++job) {
        const JobPhase phase = cell.phase("job" + std::to_string(job));
        const bool ended = phase == JobPhase::Done || (cancels && phase == JobPhase::Cancelled);
        CHECK_MESSAGE(ended, "job ", job, " did not end");
    }
    CHECK(cell.activeRuns() == 0);
}

inline void runWithFaults(const CellFaults &faults, bool cancels = false)
{
    const auto [first, last] = seedRange();
    for (std::uint64_t seed = first; seed <= last; ++seed)
        runSeed(seed, faults, cancels);
}

} // namespace lavenderarch::testing
