// Tests of large long-running tasks in a cell whose room short tasks take.
#include "loaded_cell.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::LoadedCell;

namespace {

constexpr int minions = 4;
constexpr int slots = 16; // tasks of one processor that fit on a minion

/// Ends one short task after the other while new ones arrive, for `rounds` times 20 ms.
void playShortTasks(LoadedCell &cell, int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        cell.endRun(cell.activeRun(static_cast<std::size_t>(round) * 7));
        cell.submit(1, Resources(1000, 100, 0));
        cell.advance(Milliseconds(20));
        if (round % 12 == 0) {
            for (std::size_t index = 0; index < minions; ++index)
                cell.report(index);
            cell.tick();
        }
        cell.settle();
    }
}

std::size_t servingRuns(const LoadedCell &cell)
{
    std::size_t count = 0;
    for (const auto &[agent, view] : cell.owner().minions())
        count += view.serving.size();
    return count;
}

LoadedCell fullCell()
{
    LoadedCell cell(minions);
    for (int job = 0; job < minions * slots; ++job)
        cell.submit(1, Resources(1000, 100, 0));
    cell.settle();
    REQUIRE(cell.activeRuns() == minions * slots);
    return cell;
}

} // namespace

// Pattern: bin fragmentation. Short tasks took each processor as it became free, so that a
// long-running task of ten processors waited for tens of seconds beside hundreds of free ones.
TEST_CASE("a large long-running task finds room under a steady load of short tasks")
{
    LoadedCell cell = fullCell();
    cell.submit(1, Resources(10'000, 1000, 0), 9);
    cell.settle();
    REQUIRE(servingRuns(cell) == 0);
    playShortTasks(cell, 150);
    CHECK(servingRuns(cell) == 1);
    // The short tasks have the rest again.
    playShortTasks(cell, 20);
    for (const auto &[agent, view] : cell.owner().minions()) {
        CHECK(view.keptForJob.empty());
        CHECK(view.keptRoom == Resources());
    }
}

TEST_CASE("room is kept on few minions at a time, so that short tasks go on")
{
    LoadedCell cell = fullCell();
    cell.submit(8, Resources(16'000, 1000, 0), 9); // needs four whole minions, and waits for more
    cell.settle();
    for (int round = 0; round < 40; ++round) {
        playShortTasks(cell, 12);
        int kept = 0;
        for (const auto &[agent, view] : cell.owner().minions())
            kept += view.keptForJob.empty() ? 0 : 1;
        CHECK(kept <= 1);
    }
}

TEST_CASE("no room is kept where a long-running task cannot run even without short ones")
{
    LoadedCell cell(minions);
    cell.submit(4, Resources(12'000, 1000, 0), 9); // one on each minion
    cell.settle();
    REQUIRE(servingRuns(cell) == 4);
    cell.submit(1, Resources(6000, 1000, 0), 9);
    cell.settle();
    cell.tick();
    for (const auto &[agent, view] : cell.owner().minions())
        CHECK(view.keptForJob.empty());
    cell.submit(1, Resources(4000, 100, 0));
    const std::size_t before = cell.activeRuns();
    cell.settle();
    CHECK(cell.activeRuns() == before + 1);
}

TEST_CASE("the room that was kept is free again once its job is cancelled")
{
    LoadedCell cell = fullCell();
    cell.submit(1, Resources(10'000, 1000, 0), 9);
    cell.settle();
    cell.tick();
    std::string job;
    for (const auto &[agent, view] : cell.owner().minions())
        job = view.keptForJob.empty() ? job : view.keptForJob;
    REQUIRE_FALSE(job.empty());
    cell.cancel(job);
    cell.settle();
    cell.tick();
    for (const auto &[agent, view] : cell.owner().minions())
        CHECK(view.keptForJob.empty());
}

// Pattern: starvation by residents. Long-running tasks took all processors and stayed, so that
// short tasks of the same priority waited for tens of seconds.
TEST_CASE("long-running tasks leave the room that short tasks have needed")
{
    LoadedCell cell(20); // 320 processors
    for (int job = 0; job < 24; ++job)
        cell.submit(1, Resources(1000, 100, 0));
    cell.settle();
    cell.tick();
    for (int job = 0; job < 40; ++job)
        cell.submit(8, Resources(2000, 100, 0), 9); // 640 processors in all
    cell.settle();
    const auto reserved = [&] {
        std::int64_t sum = 0;
        for (const auto &[agent, view] : cell.owner().minions())
            sum += view.usedByLongRunning.milliCores();
        return sum;
    };
    CHECK(reserved() >= 280'000);
    CHECK(reserved() <= 320'000 - 24'000);
    // Short tasks that follow each other find room at once.
    for (int round = 0; round < 100; ++round) {
        cell.endRun(cell.activeRun(static_cast<std::size_t>(round)));
        cell.submit(1, Resources(1000, 100, 0));
        cell.advance(Milliseconds(20));
        if (round % 12 == 0) {
            for (std::size_t index = 0; index < 20; ++index)
                cell.report(index);
            cell.tick();
        }
        cell.settle();
        CHECK(cell.activeRuns() - servingRuns(cell) == 24);
    }
}

// The pass after the limit had risen left out the jobs that it had held back, and the limit rose
// for twenty seconds, so that long-running tasks waited beside free room.
TEST_CASE("long-running tasks that were held back get the room soon after short tasks have ended")
{
    LoadedCell cell(20); // 320 processors
    for (int job = 0; job < 24; ++job)
        cell.submit(1, Resources(1000, 100, 0));
    cell.settle();
    cell.tick();
    StepSpec step;
    step.count = 8;
    step.demand = Resources(2000, 100, 0);
    step.longRunning = true; // without a tail target, so that no headroom changes
    for (int job = 0; job < 40; ++job)
        cell.submit(step);
    cell.settle();
    REQUIRE(cell.activeRuns() < 24 + 150);
    for (int run = 0; run < 24; ++run) { // the short tasks are the ones of one processor
        for (std::size_t number = 0; number < cell.activeRuns(); ++number) {
            const auto active = cell.activeRun(number);
            const auto job = cell.owner().jobs().find(
                active.second.task.substr(0, active.second.task.find('.')));
            if (!job->second.spec().steps.front().longRunning) {
                cell.endRun(active);
                break;
            }
        }
        cell.settle();
    }
    const auto waitFor = [&](int seconds) {
        for (int round = 0; round < 4 * seconds; ++round) {
            cell.advance(Milliseconds(250));
            for (std::size_t index = 0; index < 20; ++index)
                cell.report(index);
            cell.tick();
            cell.settle();
        }
    };
    waitFor(3);
    CHECK(cell.activeRuns() >= 159);
    waitFor(100);
    CHECK(cell.activeRuns() == 160);
}

TEST_CASE("long-running tasks have all the room while there are no short ones")
{
    LoadedCell cell(20);
    cell.tick();
    for (int job = 0; job < 40; ++job)
        cell.submit(8, Resources(2000, 100, 0), 9);
    cell.settle();
    CHECK(servingRuns(cell) == 160);
}

TEST_CASE("a backlog of short tasks keeps no more than a tenth of the room from long-running ones")
{
    LoadedCell cell(20);
    for (int job = 0; job < 2000; ++job)
        cell.submit(1, Resources(1000, 100, 0));
    cell.tick();
    for (int job = 0; job < 40; ++job)
        cell.submit(8, Resources(2000, 100, 0), 9);
    cell.settle();
    CHECK(servingRuns(cell) >= 140);
}
