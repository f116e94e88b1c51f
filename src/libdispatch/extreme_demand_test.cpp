// Tests that demands and capacities of any size do not bring a minion over its capacity.
#include "small_minion.h"

#include <doctest/doctest.h>
#include <limits>

using namespace lavenderarch;
using lavenderarch::testing::smallJob;
using lavenderarch::testing::SmallMinion;

namespace {

constexpr BootTime start(Milliseconds(50'000));
constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();

} // namespace

// The sum of what was reserved and the demand overflowed and became negative, so that it fitted.
TEST_CASE("a demand whose sum overflows does not fit")
{
    for (const Resources &demand : {Resources(largest, 100, 0), Resources(100, largest, 0),
                                    Resources(100, 100, largest), Resources(largest - 799, 0, 0)}) {
        CAPTURE(demand.text());
        SmallMinion cell;
        cell.request.facts.capacity = Resources(1000, 1000, 2);
        cell.report(start);
        JobSpec job = smallJob("a");
        job.steps[0].demand = Resources(500, 200, 1);
        cell.submit(job, start);
        REQUIRE(cell.run("a") == 1);
        JobSpec large = smallJob("b");
        large.steps[0].demand = demand;
        cell.submit(large, start);
        CHECK(cell.run("b") == 0);
        CHECK(cell.owner.minions().at("agent").used == Resources(500, 200, 1));
    }
}

TEST_CASE("a minion whose capacity is negative in one resource gets no run")
{
    for (const Resources &capacity : {Resources(-1, 1000, 2), Resources(1000, -1, 2),
                                      Resources(1000, 1000, -1), Resources(-largest, 0, 0)}) {
        CAPTURE(capacity.text());
        SmallMinion cell;
        cell.request.facts.capacity = capacity;
        cell.report(start);
        JobSpec job = smallJob("a");
        job.steps[0].demand = Resources();
        cell.submit(job, start);
        CHECK(cell.run("a") == 0);
    }
}
