// Tests of the bound on the time for which soft constraints hold a task back.
#include "loaded_cell.h"
#include "loaded_steps.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::bestEffortTasks;
using lavenderarch::testing::LoadedCell;
using lavenderarch::testing::longTasks;
using lavenderarch::testing::shortTasks;

namespace {

/// Users' bound on the time for which a task waits beside room for it twice over.
constexpr Milliseconds bound{3000};
constexpr Milliseconds tickInterval{250};

void play(LoadedCell &cell, Milliseconds duration)
{
    for (Milliseconds passed{0}; passed < duration; passed += tickInterval) {
        cell.advance(tickInterval);
        for (std::size_t index = 0; index < cell.owner().minions().size(); ++index)
            cell.report(index);
        cell.tick();
        cell.settle();
    }
}

int activeRuns(const LoadedCell &cell, const std::string &job)
{
    return cell.owner().jobs().at(job).activeRuns();
}

/// Submits a job of one step, which soft constraints hold back, and checks that `placed` of its
/// tasks are placed within the bound.
void checkHeldBackWithinBound(LoadedCell &cell, const StepSpec &step, int placed)
{
    const std::string job = cell.submit({step}, step.bestEffort ? 2 : 0);
    cell.settle();
    CHECK(activeRuns(cell, job) == 0);
    play(cell, bound);
    CHECK(activeRuns(cell, job) == placed);
}

/// Three minions with 14.1 of 16 processors in use by long-running tasks, and short tasks that
/// wait and fit on none.
LoadedCell cellWithRoomForShortTasks()
{
    LoadedCell cell(3);
    cell.submit({longTasks(4700, 9)}, 0);
    cell.settle();
    REQUIRE(cell.activeRuns() == 9);
    cell.submit({shortTasks(3500, 2)}, 0);
    cell.settle();
    cell.tick();
    return cell;
}

/// A minion with 11.5 of 16 processors in use and a long-running job of one task of 5 that waits
/// for the short task of 2.5 there to end.
LoadedCell cellWithKeptRoom(int minions = 1, const std::string &label = {})
{
    LoadedCell cell(minions);
    if (!label.empty())
        cell.facts(0).labels.push_back(label);
    cell.report(0);
    const auto submit = [&](StepSpec step) {
        step.requiredLabel = label;
        cell.submit({step}, 0);
        cell.settle();
    };
    submit(longTasks(9000));
    submit(shortTasks(2500));
    submit(longTasks(5000));
    cell.tick();
    REQUIRE(cell.activeRuns() == 2);
    REQUIRE(cell.owner().minions().begin()->second.keptRoom == Resources(5000, 1000, 0));
    return cell;
}

} // namespace

// Guards against a long-running task that waits for good (LOST) beside room left to short tasks.
TEST_CASE("room left to short tasks holds a long-running task back for less than three seconds")
{
    LoadedCell cell = cellWithRoomForShortTasks();
    checkHeldBackWithinBound(cell, longTasks(1500), 1);
}

TEST_CASE("the last slot is left to short tasks")
{
    LoadedCell cell = cellWithRoomForShortTasks();
    const std::string job = cell.submit({longTasks(1500, 5)}, 0);
    cell.settle();
    play(cell, 2 * bound);
    CHECK(activeRuns(cell, job) == 2);
}

TEST_CASE("the time for which a step is held back starts anew when there is no room")
{
    LoadedCell cell = cellWithRoomForShortTasks();
    const std::string job = cell.submit({longTasks(1500)}, 0);
    for (int round = 0; round < 4; ++round) {
        play(cell, Milliseconds(1500));
        CHECK(activeRuns(cell, job) == 0);
        const std::string taken = cell.submit({shortTasks(1500, 2)}, 0);
        cell.settle();
        REQUIRE(activeRuns(cell, taken) == 2);
        play(cell, Milliseconds(250));
        CHECK(activeRuns(cell, job) == 0);
        cell.endRuns(taken);
        cell.settle();
    }
    play(cell, bound);
    CHECK(activeRuns(cell, job) == 1);
}

TEST_CASE("other runs of its job do not extend the time for which a step is held back")
{
    LoadedCell cell = cellWithRoomForShortTasks();
    const std::string job = cell.submit({longTasks(1500), shortTasks(500)}, 0);
    cell.settle();
    CHECK(activeRuns(cell, job) == 1);
    for (Milliseconds passed{0}; passed < bound; passed += tickInterval) {
        cell.endRuns(job, RunOutcome::Stopped);
        play(cell, tickInterval);
        if (activeRuns(cell, job) == 2)
            return;
    }
    FAIL("the long-running task was not placed");
}

// Guards against a long-running task that waits for good (LOST) beside room kept for another one.
TEST_CASE("room kept for a long-running job holds another one back for less than three seconds")
{
    LoadedCell cell = cellWithKeptRoom(2, "b");
    StepSpec step = longTasks(1000);
    step.requiredLabel = "b";
    const std::string job = cell.submit({step}, 0);
    cell.settle();
    CHECK(activeRuns(cell, job) == 0);
    for (Milliseconds passed{0}; passed < bound; passed += tickInterval) {
        // The other minion gains room, so that searches are repeated.
        const std::string other = cell.submit({shortTasks(1000)}, 0);
        cell.settle();
        cell.endRuns(other);
        play(cell, tickInterval);
    }
    CHECK(activeRuns(cell, job) == 1);
}

// Guards against a short job that waits for good (LOST) in a service that is hardly used.
TEST_CASE("kept room holds a short job of a lightly used service back for less than three seconds")
{
    LoadedCell cell = cellWithKeptRoom(4, "b");
    StepSpec step = shortTasks(1000);
    step.requiredLabel = "b";
    checkHeldBackWithinBound(cell, step, 1);
}

TEST_CASE("short tasks leave kept room alone while most processors are in use")
{
    LoadedCell cell = cellWithKeptRoom();
    const std::string job = cell.submit({shortTasks(1000)}, 0);
    cell.settle();
    play(cell, 2 * bound);
    CHECK(activeRuns(cell, job) == 0);
}

// Guards against a gang that starts nothing as long as other best-effort tasks use the processors.
TEST_CASE("a gang of best-effort tasks waits for pace for less than three seconds")
{
    LoadedCell cell(3);
    cell.submit({bestEffortTasks(4000, 30)}, 2);
    cell.settle();
    StepSpec gang = bestEffortTasks(4000, 8);
    gang.gang = true;
    checkHeldBackWithinBound(cell, gang, 8);
}
