// Tests of searches for a minion while room is kept there for a job.
#include "loaded_cell.h"
#include "loaded_steps.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::LoadedCell;
using lavenderarch::testing::longTasks;
using lavenderarch::testing::shortTasks;

namespace {

/// A minion of 16 processors with a long-running and a short task.
struct UsedCell
{
    LoadedCell cell{1};
    std::string shortJob;

    UsedCell(std::int64_t longMilliCores, std::int64_t shortMilliCores)
    {
        cell.submit({longTasks(longMilliCores)}, 0);
        shortJob = cell.submit({shortTasks(shortMilliCores)}, 0);
        cell.settle();
        REQUIRE(cell.activeRuns() == 2);
    }
};

const MinionView &minion(const LoadedCell &cell)
{
    return cell.owner().minions().begin()->second;
}

} // namespace

// Guards against a deadlock (LOST): the failed search of a task that kept room had turned away
// stopped the search of the job for which the room was kept.
TEST_CASE("a job takes the room kept for it after a smaller task was turned away from there")
{
    UsedCell used(9000, 2500);
    LoadedCell &cell = used.cell;
    const std::string large = cell.submit({longTasks(5000)}, 1);
    cell.settle();
    cell.tick();
    REQUIRE(minion(cell).keptForJob == large);
    const std::string small = cell.submit({shortTasks(2500)}, 0); // is searched for first
    cell.settle();
    REQUIRE(cell.activeRuns() == 2);
    cell.endRuns(used.shortJob);
    cell.settle();
    CHECK(cell.owner().jobs().at(large).activeRuns() == 1);
    CHECK(cell.owner().jobs().at(small).activeRuns() == 0);
}

// Guards against a task that waits beside room which became its own, or smaller, without a search.
TEST_CASE("a job is placed when the room that turned it away is kept for it instead")
{
    UsedCell used(9000, 2500);
    LoadedCell &cell = used.cell;
    const std::string large = cell.submit({longTasks(5000)}, 0);
    cell.settle();
    cell.tick();
    REQUIRE(minion(cell).keptForJob == large);
    const std::string next = cell.submit({longTasks(3000)}, 1);
    cell.settle();
    REQUIRE(cell.activeRuns() == 2);
    cell.cancel(large);
    cell.settle();
    cell.tick();
    cell.settle();
    CHECK(cell.owner().jobs().at(next).activeRuns() == 1);
}

// Guards against room that is given up without a search when a smaller task of its job takes a
// part.
TEST_CASE("room that is kept for one step stays kept when another step of the job is placed there")
{
    UsedCell used(8000, 3200);
    LoadedCell &cell = used.cell;
    const std::string job = cell.submit({longTasks(5000), longTasks(1000)}, 0);
    cell.settle();
    cell.tick();
    REQUIRE(cell.activeRuns() == 3);
    REQUIRE(minion(cell).keptForJob == job);
    cell.endRuns(job, RunOutcome::Failed);
    cell.settle();
    REQUIRE(cell.activeRuns() == 3);
    CHECK(minion(cell).keptRoom == Resources(5000, 1000, 0));
}
