// Tests of the objective of a job and of the share of overdue jobs.
#include "lavenderarch/dispatch/job_objective.h"
#include "simulated_cell.h"

using namespace lavenderarch;
using lavenderarch::testing::SimulatedCell;

namespace {

StepSpec step(int count, std::int64_t estimateMs)
{
    StepSpec spec;
    spec.count = count;
    spec.demand = Resources(2000, 200, 0);
    spec.estimateMs = estimateMs;
    return spec;
}

JobSpec job(const std::string &id, int count = 1)
{
    JobSpec spec;
    spec.id = id;
    spec.attempts = 2;
    spec.steps = {step(count, 1000)};
    return spec;
}

/// Objective of job(): 400 ms plus 1.5 times 1000 ms.
QueuePolicy queue()
{
    QueuePolicy policy;
    policy.name = "q";
    policy.stretch = 1.5;
    policy.objectiveMs = 400;
    return policy;
}

} // namespace

TEST_CASE("the critical path follows the dependencies of the steps")
{
    JobSpec spec = job("a");
    spec.steps = {step(4, 300), step(1, 900), step(2, 500)};
    spec.steps[2].after = {0};
    CHECK(criticalPath(spec) == Milliseconds(900));
    spec.steps[2].after = {0, 1};
    CHECK(criticalPath(spec) == Milliseconds(1400));
    CHECK(objective(queue(), spec) == Milliseconds(2500));
    CHECK(objective(QueuePolicy{}, spec) == std::nullopt);
}

// With the least remaining work first, small jobs overtook a large one for as long as they arrived.
TEST_CASE("a large job is served while smaller ones keep arriving")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        SimulatedCell cell(seed, 2, {});
        // Four tasks at a time of 0.2 to 2.5 s; four a second arrive.
        for (int index = 0; index < 80; ++index) {
            cell.submit(job("small" + std::to_string(index)));
            if (index == 8)
                cell.submit(job("large", 8));
            cell.advance(Milliseconds(240));
        }
        CHECK(cell.phase("large") == JobPhase::Done);
    }
}

// Only the most urgent priority with a waiting job had a share, so that one job without room left
// the large jobs of all others to starve.
TEST_CASE("a large job is served beside a more urgent one that fits no minion")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        SimulatedCell cell(seed, 2, {});
        JobSpec urgent = job("urgent");
        urgent.steps[0].requiredLabel = "missing";
        cell.submit(urgent);
        for (int index = 0; index < 80; ++index) {
            JobSpec next = job("small" + std::to_string(index));
            next.priority = 2;
            cell.submit(next);
            if (index == 8) {
                JobSpec large = job("large", 8);
                large.priority = 2;
                cell.submit(large);
            }
            cell.advance(Milliseconds(240));
        }
        CHECK(cell.phase("large") == JobPhase::Done);
    }
}
