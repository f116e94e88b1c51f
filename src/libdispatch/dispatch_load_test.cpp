// Tests of the work that a cell's owner does under load, measured in counts.
#include "loaded_cell.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::LoadedCell;

TEST_CASE("the work of placement is counted and logged at most once a second")
{
    LoadedCell cell(2);
    cell.owner().takeEvents();
    std::vector<DispatchEvent> reports;
    for (int step = 0; step < 100; ++step) {
        cell.submit(1, Resources(500, 100, 0));
        if (cell.owner().prepareCommit(cell.now()))
            cell.owner().commitApplied(cell.now());
        for (const DispatchEvent &event : cell.owner().takeEvents()) {
            if (event.message == "placement passes")
                reports.push_back(event);
        }
        cell.advance(Milliseconds(25));
    }
    CHECK(reports.size() == 3);
    const PlacementCounts &counts = cell.owner().placementCounts();
    CHECK(counts.placed == 64); // the room of two minions
    CHECK(counts.searches >= counts.placed);
    CHECK(counts.minions >= counts.searches);
    const auto &fields = reports.back().fields;
    const auto queues = std::find_if(fields.begin(), fields.end(), [](const auto &field) {
        return field.first == "unfinishedJobs";
    });
    REQUIRE(queues != fields.end());
    CHECK(queues->second == "q 81 (idle 17)");
}

namespace {

constexpr std::int64_t minions = 10;
/// Kinds of waiting jobs that waitingCell() submits.
constexpr std::int64_t shapes = 5;

/// A cell without free room in which `jobs` jobs of few shapes wait.
LoadedCell waitingCell(int jobs)
{
    LoadedCell cell(static_cast<int>(minions));
    cell.submit(static_cast<int>(minions), Resources(16'000, 64'000, 0));
    cell.settle();
    for (int job = 0; job < jobs; ++job) {
        cell.submit(3, Resources(500, 1000, 0));
        cell.submit(2, Resources(1500, 2000, 0));
        cell.submit(2, Resources(2000, 1000, 0), 9);
        cell.submit(4, Resources(3000, 4000, 0), -1);
        StepSpec gang;
        gang.count = 3;
        gang.demand = Resources(6000, 9000, 0);
        gang.gang = true;
        cell.submit(gang);
    }
    cell.settle();
    return cell;
}

/// Minions examined until the cell has placed what it can after one run has ended.
std::int64_t examinedAfterAnEnd(LoadedCell &cell)
{
    const std::int64_t before = cell.owner().placementCounts().minions;
    cell.endRun(cell.activeRun(0));
    cell.settle();
    return cell.owner().placementCounts().minions - before;
}

} // namespace

// Each pass examined all minions for each waiting job, so that an owner with a backlog fell behind.
TEST_CASE("the work of placement does not grow with the number of jobs that find no room")
{
    for (const int jobs : {10, 100}) {
        CAPTURE(jobs);
        LoadedCell cell = waitingCell(jobs);
        const std::int64_t placedBefore = cell.owner().placementCounts().placed;
        const std::int64_t examined = examinedAfterAnEnd(cell);
        const std::int64_t placed = cell.owner().placementCounts().placed - placedBefore;
        CHECK(placed >= 10);
        // Placed tasks may examine all minions; each shape fails on them at most once in each of
        // the states with and without an active run of the job.
        CHECK(examined <= (placed + 2 * shapes) * minions);
    }
}

// A pass followed each stored commit and each tick.
TEST_CASE("no pass is made while neither the waiting jobs nor the room have changed")
{
    LoadedCell cell = waitingCell(20);
    const std::int64_t passes = cell.owner().placementCounts().passes;
    for (int step = 0; step < 10; ++step) {
        cell.advance(Milliseconds(100));
        for (std::size_t index = 0; index < static_cast<std::size_t>(minions); ++index)
            cell.report(index);
        cell.tick();
        cell.settle();
    }
    CHECK(cell.owner().placementCounts().passes == passes);
}

TEST_CASE("a waiting task is placed once a minion gains room in any way")
{
    LoadedCell cell(1);
    const auto waits = [&] {
        const std::size_t active = cell.activeRuns();
        cell.submit(1, Resources(100, 100, 0));
        cell.settle();
        cell.tick();
        cell.settle();
        return cell.activeRuns() == active;
    };
    const auto placed = [&] {
        const std::size_t active = cell.activeRuns();
        cell.settle();
        return cell.activeRuns() == active + 1;
    };
    SUBCASE("a run ends")
    {
        cell.submit(1, Resources(16'000, 100, 0));
        cell.settle();
        REQUIRE(waits());
        cell.endRun(cell.activeRun(0));
        cell.settle();
        CHECK(cell.activeRuns() == 1);
    }
    SUBCASE("the minion stops draining")
    {
        cell.facts(0).draining = true;
        cell.report(0);
        REQUIRE(waits());
        cell.facts(0).draining = false;
        cell.report(0);
        CHECK(placed());
    }
    SUBCASE("the data centre is reopened")
    {
        cell.owner().setClosedDataCentres({"dc-0"});
        REQUIRE(waits());
        cell.owner().setClosedDataCentres({});
        CHECK(placed());
    }
    SUBCASE("the minion reports again after a silence")
    {
        cell.advance(Milliseconds(2500));
        REQUIRE(waits());
        cell.report(0);
        CHECK(placed());
    }
    SUBCASE("its capacity grows")
    {
        cell.facts(0).capacity = Resources(50, 1000, 0);
        cell.report(0);
        REQUIRE(waits());
        cell.facts(0).capacity = Resources(1000, 1000, 0);
        cell.report(0);
        CHECK(placed());
    }
}

TEST_CASE("a best-effort task is placed once a serving task has headroom again")
{
    LoadedCell cell(1);
    cell.submit(1, Resources(4000, 1000, 0), 9);
    cell.settle();
    cell.submit(2, Resources(4000, 1000, 0), -1);
    for (int sample = 0; sample < 4; ++sample) {
        cell.advance(Milliseconds(500));
        cell.report(0, {}, 20); // above the target of 9 ms
        cell.tick();
        cell.settle();
    }
    // Only the first task of an idle job runs beside a serving task that exceeds its target.
    REQUIRE(cell.activeRuns() == 2);
    for (int sample = 0; sample < 40; ++sample) {
        cell.advance(Milliseconds(500));
        cell.report(0, {}, 1);
        cell.tick();
        cell.settle();
    }
    CHECK(cell.activeRuns() == 3);
}

// Pattern: a search compared all minions with room for each task, so that the time of a placement
// grew with the cell and the passes of an owner of 240 minions fell from 45 to 6 a second.
TEST_CASE("the work of a search does not grow with the number of minions that have room")
{
    const auto examinedPerTask = [](int minionCount, int tailTargetMs) {
        LoadedCell cell(minionCount);
        for (int job = 0; job < 100; ++job)
            cell.submit(1, Resources(500, 100, 0), tailTargetMs);
        cell.settle();
        const PlacementCounts &counts = cell.owner().placementCounts();
        CHECK(counts.placed == 100);
        return counts.minions / counts.placed;
    };
    CHECK(examinedPerTask(240, 0) <= 30);
    CHECK(examinedPerTask(1000, 0) <= 30);
    CHECK(examinedPerTask(240, -1) <= 100);
    CHECK(examinedPerTask(1000, -1) <= 100);
}

TEST_CASE("searches that compare few minions still spread the tasks over all of them")
{
    LoadedCell cell(240);
    for (int job = 0; job < 240; ++job)
        cell.submit(1, Resources(6000, 100, 0));
    cell.settle();
    int busiest = 0;
    for (const auto &[agent, view] : cell.owner().minions())
        busiest = std::max(busiest, static_cast<int>(view.runs.size()));
    CHECK(busiest == 1);
}

// Pattern: retry storm. Each observation of a serving task let every waiting best-effort task try
// its minion again, and each tick all minions, so that the passes of a loaded owner took 150 ms.
TEST_CASE("waiting best-effort tasks try minions with other headrooms at intervals")
{
    constexpr std::size_t minionCount = 240;
    constexpr std::size_t reportsPerRound = 12;
    constexpr int images = 10;
    LoadedCell cell(minionCount);
    for (std::size_t minion = 0; minion < minionCount; ++minion)
        cell.submit(1, Resources(12'000, 1000, 0), 9, static_cast<int>(minion % 5));
    cell.settle();
    for (int job = 0; job < 100; ++job)
        cell.submit(4, Resources(6000, 100, 0), -1, job % images);
    std::size_t reporting = 0;
    const auto playSeconds = [&](int seconds) {
        for (int round = 0; round < 40 * seconds; ++round) {
            cell.advance(Milliseconds(25));
            for (std::size_t report = 0; report < reportsPerRound; ++report)
                cell.report(reporting++ % minionCount, {}, 8);
            cell.submit(1, Resources(10, 10, 0)); // calls for a pass
            if (round % 10 == 0)
                cell.tick();
            cell.settle();
        }
    };
    playSeconds(5);
    const PlacementCounts before = cell.owner().placementCounts();
    playSeconds(2);
    const PlacementCounts &after = cell.owner().placementCounts();
    CHECK(after.passes - before.passes >= 80);
    // Each image is tried on each minion in about four intervals of half a second.
    CHECK(after.minions - before.minions <= 6 * images * static_cast<int>(minionCount));
}
