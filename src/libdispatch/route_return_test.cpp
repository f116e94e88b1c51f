// Tests of jobs whose service has no route for some time.
#include "loaded_cell.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::LoadedCell;

// Guards against a step that stands still (LOST): the pass made without a route counted as a try.
TEST_CASE("a waiting job is placed when the route to its service has come back")
{
    LoadedCell cell(1);
    const auto withRoute = std::make_shared<QueueCatalog>();
    withRoute->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
    withRoute->services.insert("svc");
    cell.owner().setCatalog(std::make_shared<QueueCatalog>());
    cell.submit(1, Resources(1000, 100, 0));
    cell.settle();
    REQUIRE(cell.activeRuns() == 0);
    cell.owner().setCatalog(withRoute);
    cell.settle();
    CHECK(cell.activeRuns() == 1);
}
