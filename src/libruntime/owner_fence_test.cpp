// Tests of when an owner may act on its newest renewal.
#include "lavenderarch/runtime/owner_fence.h"
#include "memory_rows.h"

#include <doctest/doctest.h>
#include <thread>

using namespace lavenderarch;
using lavenderarch::testing::MemoryRows;

// Guards against two owners at once, of which the former grants leases that the next one does not
// count: the others see the row unchanged since the first attempt, which was stored.
TEST_CASE("a renewal whose answer was lost counts from its first attempt")
{
    MemoryRows store;
    Metrics metrics;
    OwnerFence<MemoryRows> fence(store, metrics, "svc", "vm-1", "127.0.0.1:1");
    OwnershipWatch watch("vm-1");
    fence.claimable(watch);
    REQUIRE(fence.claim(watch));
    store.setFault(MemoryRows::Fault::LoseResponse);
    const BootTime before = BootClock::now();
    CHECK(fence.commit({}) == OwnerFence<MemoryRows>::Outcome::Unconfirmed);
    const BootTime stored = BootClock::now();
    std::this_thread::sleep_for(Milliseconds(100));
    store.setFault(MemoryRows::Fault::None);
    REQUIRE(fence.commit({}) == OwnerFence<MemoryRows>::Outcome::Stored);
    CHECK(fence.renewedAt() >= before);
    CHECK(fence.renewedAt() <= stored);
    std::this_thread::sleep_for(Milliseconds(20));
    const BootTime next = BootClock::now();
    REQUIRE(fence.commit({}) == OwnerFence<MemoryRows>::Outcome::Stored);
    CHECK(fence.renewedAt() >= next);
}
