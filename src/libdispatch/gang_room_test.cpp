// Tests of the room that a gang finds when the runs of other jobs end one after the other.
#include "loaded_cell.h"
#include "loaded_steps.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::LoadedCell;
using lavenderarch::testing::shortTasks;

namespace {

constexpr int minions = 3;

} // namespace

// Guards against a gang that never starts (LOST): each search left out the minions whose room an
// earlier one had found too little for the whole gang.
TEST_CASE("a gang starts once the last of its minions has room, in whichever order they gain it")
{
    std::vector<std::size_t> order{0, 1, 2};
    do {
        CAPTURE(order);
        LoadedCell cell(minions);
        std::vector<std::string> blocking;
        for (int job = 0; job < minions; ++job) {
            blocking.push_back(cell.submit({shortTasks(10'000)}, 0)); // one fits on a minion
            cell.settle();
        }
        REQUIRE(cell.activeRuns() == minions);
        StepSpec step = shortTasks(10'000, minions);
        step.gang = true;
        const std::string gang = cell.submit({step}, 0);
        cell.settle();
        for (const std::size_t ended : order) {
            CHECK(cell.owner().jobs().at(gang).activeRuns() == 0);
            cell.endRuns(blocking[ended]);
            cell.settle();
        }
        CHECK(cell.owner().jobs().at(gang).activeRuns() == minions);
    } while (std::next_permutation(order.begin(), order.end()));
}
