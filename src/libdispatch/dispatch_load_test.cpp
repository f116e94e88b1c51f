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
