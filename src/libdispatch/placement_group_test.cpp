// Tests of the placement of several tasks of a step on one minion after one search.
#include "loaded_cell.h"

#include <doctest/doctest.h>
#include <functional>

using namespace lavenderarch;
using lavenderarch::testing::LoadedCell;

namespace {

constexpr int minions = 10;
/// Tasks placed after one search; as in cell_dispatcher_placement.cpp.
constexpr int groupSize = 8;

/// Numbers of runs on the minions that have any, the largest first.
std::string runsPerMinion(const LoadedCell &cell)
{
    std::multiset<std::size_t, std::greater<>> counts;
    for (const auto &[agent, view] : cell.owner().minions()) {
        if (!view.runs.empty())
            counts.insert(view.runs.size());
    }
    std::string text;
    for (const std::size_t count : counts)
        text += (text.empty() ? "" : " ") + std::to_string(count);
    return text;
}

StepSpec regularStep(int count)
{
    StepSpec step;
    step.count = count;
    step.demand = Resources(500, 1000, 0);
    return step;
}

std::int64_t searches(const LoadedCell &cell)
{
    return cell.owner().placementCounts().searches;
}

std::string field(const DispatchEvent &event, const std::string &name)
{
    for (const auto &[key, value] : event.fields) {
        if (key == name)
            return value;
    }
    return "";
}

std::vector<DispatchEvent> placementEvents(LoadedCell &cell)
{
    std::vector<DispatchEvent> events;
    for (DispatchEvent &event : cell.owner().takeEvents()) {
        if (event.message == "runs placed")
            events.push_back(std::move(event));
    }
    return events;
}

} // namespace

// Each task was searched a minion of its own, so that each run cost a search and an exchange.
TEST_CASE("tasks of a step share idle minions, with one search for each group")
{
    LoadedCell cell(minions);
    cell.submit(regularStep(2 * groupSize));
    cell.settle();
    CHECK(runsPerMinion(cell) == "8 8");
    CHECK(searches(cell) == 2);
}

TEST_CASE("best-effort tasks share a minion while their expected pace there is full")
{
    LoadedCell cell(minions);
    StepSpec step = regularStep(groupSize);
    step.bestEffort = true;
    step.image = "image-fill-0";
    SUBCASE("all fit")
    {
        cell.submit(step);
        cell.settle();
        CHECK(runsPerMinion(cell) == "8");
        CHECK(searches(cell) == 1);
    }
    SUBCASE("the processors of a minion suffice for two")
    {
        step.demand = Resources(7000, 1000, 0);
        cell.submit(step);
        cell.settle();
        CHECK(runsPerMinion(cell) == "2 2 2 2");
    }
}

TEST_CASE("tasks share a minion only while its unused processors suffice")
{
    LoadedCell cell(minions);
    SUBCASE("regular tasks use some")
    {
        cell.submit(minions, Resources(13'000, 1000, 0));
        cell.settle();
        cell.submit(6, Resources(1000, 1000, 0));
        cell.settle();
        CHECK(cell.activeRuns() == minions + 6);
        CHECK(runsPerMinion(cell) == "4 4 1 1 1 1 1 1 1 1");
    }
    SUBCASE("best-effort tasks use some and keep their expected pace")
    {
        cell.submit(minions, Resources(10'000, 1000, 0), -1);
        cell.settle();
        REQUIRE(cell.activeRuns() == minions);
        cell.submit(4, Resources(2000, 1000, 0));
        cell.settle();
        CHECK(runsPerMinion(cell) == "5 1 1 1 1 1 1 1 1 1");
    }
    SUBCASE("best-effort tasks would lose pace")
    {
        cell.submit(minions, Resources(15'500, 1000, 0), -1);
        cell.settle();
        REQUIRE(cell.activeRuns() == minions);
        cell.submit(4, Resources(1000, 1000, 0));
        cell.settle();
        CHECK(runsPerMinion(cell) == "2 2 2 2 1 1 1 1 1 1");
    }
}

TEST_CASE("tasks that have to be apart, and those that stay, get a search each")
{
    LoadedCell cell(minions);
    StepSpec step = regularStep(4);
    SUBCASE("the step limits its tasks on a minion")
    {
        step.maxPerMinion = 2;
    }
    SUBCASE("the tasks run until the job is cancelled")
    {
        step.longRunning = true;
    }
    SUBCASE("the tasks serve")
    {
        step.longRunning = true;
        step.tailTargetMs = 9;
        step.image = "image-serve-0";
    }
    SUBCASE("the tasks are a gang")
    {
        step.gang = true;
    }
    cell.submit(step);
    cell.settle();
    CHECK(cell.activeRuns() == 4);
    CHECK(searches(cell) == 4);
    for (const auto &[agent, view] : cell.owner().minions())
        CHECK((step.maxPerMinion == 0 || view.runs.size() <= 2));
}

TEST_CASE("a minion where a task failed recently gets no group")
{
    LoadedCell cell(1);
    cell.submit(regularStep(1));
    cell.settle();
    const auto [index, run] = cell.activeRun(0);
    cell.report(index, {{1, run, RunOutcome::Failed, "", ""}});
    const std::int64_t before = searches(cell);
    cell.submit(regularStep(4));
    cell.settle();
    CHECK(cell.activeRuns() == 4);
    CHECK(searches(cell) == before + 4);
}

TEST_CASE("a pass logs the placements of a group together")
{
    LoadedCell cell(minions);
    cell.owner().takeEvents();
    cell.submit(regularStep(groupSize + 2));
    REQUIRE(cell.owner().prepareCommit(cell.now()));
    const auto events = placementEvents(cell);
    REQUIRE(events.size() == 2);
    CHECK(field(events[0], "runs") == "job-0.0.0.0#1 job-0.0.0.1#1 job-0.0.0.2#1 job-0.0.0.3#1 "
                                      "job-0.0.0.4#1 job-0.0.0.5#1 job-0.0.0.6#1 job-0.0.0.7#1");
    CHECK(field(events[1], "runs") == "job-0.0.0.8#1 job-0.0.0.9#1");
    CHECK(field(events[0], "agent") != field(events[1], "agent"));
}

TEST_CASE("members of a gang on one minion are logged together")
{
    LoadedCell cell(1);
    cell.owner().takeEvents();
    StepSpec step = regularStep(3);
    step.gang = true;
    cell.submit(step);
    REQUIRE(cell.owner().prepareCommit(cell.now()));
    const auto events = placementEvents(cell);
    REQUIRE(events.size() == 1);
    CHECK(field(events[0], "runs") == "job-0.0.0.0#1 job-0.0.0.1#1 job-0.0.0.2#1");
}
