// Tests of the work that a cell's owner does for jobs that are settled or wait, in counts.
#include "loaded_cell.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::LoadedCell;

namespace {

/// A cell in which `jobs` jobs have ended and as many wait for room.
LoadedCell cellWithHistory(int jobs)
{
    LoadedCell cell(2);
    for (int job = 0; job < jobs; ++job) {
        cell.submit(1, Resources(500, 100, 0));
        cell.settle();
        cell.endRun(cell.activeRun(0));
        cell.settle();
    }
    cell.submit(2, Resources(16'000, 64'000, 0));
    for (int job = 0; job < jobs; ++job)
        cell.submit(1, Resources(500, 100, 0));
    cell.settle();
    return cell;
}

} // namespace

// Each commit examined all settled jobs, and each tick all jobs.
TEST_CASE("the work of a commit and of a tick does not grow with the known jobs")
{
    for (const int jobs : {10, 500}) {
        CAPTURE(jobs);
        LoadedCell cell = cellWithHistory(jobs);
        REQUIRE(cell.owner().settledJobs() == static_cast<std::size_t>(jobs));
        const UpkeepCounts before = cell.owner().upkeepCounts();
        cell.endRun(cell.activeRun(0));
        cell.tick();
        cell.settle();
        const UpkeepCounts &after = cell.owner().upkeepCounts();
        CHECK(after.expiryChecks - before.expiryChecks <= 10);
        CHECK(after.occurrenceChecks - before.occurrenceChecks == 0);
    }
}

// Each commit looked up the orders of all agents.
TEST_CASE("only agents that have got orders are to be woken")
{
    LoadedCell cell(50);
    StepSpec step;
    step.count = 2;
    step.demand = Resources(500, 100, 0);
    step.maxPerMinion = 1;
    cell.submit(step);
    cell.settle();
    CHECK(cell.owner().takeAgentsToWake().size() == 2);
    CHECK(cell.owner().takeAgentsToWake().empty());
    cell.endRun(cell.activeRun(0));
    cell.settle();
    CHECK(cell.owner().takeAgentsToWake().empty());
}

// A commit stored 45 jobs, as if each had a new phase, so that ends and starts waited for the next.
TEST_CASE("a commit stores as many jobs as a transaction of the store holds")
{
    constexpr std::size_t jobs = 90;
    LoadedCell cell(40);
    for (std::size_t job = 0; job < jobs; ++job)
        cell.submit(3, Resources(500, 100, 0));
    cell.settle();
    const auto endRuns = [&](const std::string &index) {
        std::vector<std::pair<std::size_t, RunKey>> ending;
        for (std::size_t number = 0; number < cell.activeRuns(); ++number) {
            if (cell.activeRun(number).second.task.ends_with(index))
                ending.push_back(cell.activeRun(number));
        }
        REQUIRE(ending.size() == jobs);
        for (const auto &run : ending)
            cell.endRun(run);
    };
    endRuns(".0"); // starts the jobs, so that each writes its phase too
    std::size_t rows = 0;
    while (const auto commit = cell.owner().prepareCommit(cell.now())) {
        CHECK(commit->writes.size() <= 97); // the fence takes two of the 100 entries, one is spare
        rows += commit->writes.size();
        cell.owner().commitApplied(cell.now());
    }
    CHECK(rows == 2 * jobs);
    endRuns(".1");
    const auto commit = cell.owner().prepareCommit(cell.now());
    REQUIRE(commit.has_value());
    CHECK(commit->writes.size() == jobs);
}

// Each tick, four times a second, located all runs.
TEST_CASE("runs are examined for stalls and slow paces only when one may be due")
{
    LoadedCell cell(4);
    cell.submit(40, Resources(500, 100, 0));
    cell.submit(20, Resources(500, 100, 0), -1);
    cell.settle();
    REQUIRE(cell.activeRuns() == 60);
    cell.tick();
    const UpkeepCounts before = cell.owner().upkeepCounts();
    constexpr int seconds = 12;
    for (int quarter = 0; quarter < 4 * seconds; ++quarter) {
        cell.advance(Milliseconds(250));
        for (std::size_t index = 0; index < 4; ++index)
            cell.report(index, {}, 2, quarter); // all runs progress
        cell.tick();
    }
    CHECK(cell.activeRuns() == 60);
    const UpkeepCounts &after = cell.owner().upkeepCounts();
    CHECK(after.stallChecks - before.stallChecks <= 60 * seconds / 2);
    CHECK(after.slowChecks - before.slowChecks <= 20 * seconds);
}

TEST_CASE("settled jobs expire in the order in which they ended, a few with each commit")
{
    LoadedCell cell = cellWithHistory(30);
    cell.advance(Milliseconds(DispatchLimits{}.retentionMs));
    std::vector<std::size_t> left;
    while (const auto commit = cell.owner().prepareCommit(cell.now())) {
        cell.owner().commitApplied(cell.now());
        left.push_back(cell.owner().settledJobs());
    }
    REQUIRE(!left.empty());
    CHECK(left.back() == 0);
    CHECK(cell.owner().jobs().count("job-29") == 0);
    CHECK(cell.owner().jobs().count("job-31") == 1);
}
