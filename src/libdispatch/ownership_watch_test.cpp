// Tests of the watch that decides when a cell may be taken over.
#include "lavenderarch/dispatch/ownership_watch.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

TEST_CASE("a takeover requires that the owner stopped renewing; a store outage does not count")
{
    OwnershipWatch watch("vm-2-aaaa");
    const OwnerRecord record{"o", "1.2.3.4:5", 3, 9, "x", false};
    BootTime now(Milliseconds(10'000));
    const auto read = [&](std::int64_t version, int stepMs) {
        now += Milliseconds(stepMs);
        return watch.observe(record, version, now, now + Milliseconds(5));
    };
    CHECK_FALSE(read(7, 400));
    for (int turn = 0; turn < 5; ++turn)
        CHECK_FALSE(read(7, 400));
    watch.readFailed();
    for (int turn = 0; turn < 6; ++turn)
        CHECK_FALSE(read(7, 400));
    CHECK_FALSE(read(8, 400)); // the owner renewed
    for (int turn = 0; turn < 6; ++turn)
        CHECK_FALSE(read(8, 400));
    CHECK(read(8, 400));
    OwnerRecord released = record;
    released.released = true;
    CHECK(watch.observe(released, 9, now, now + Milliseconds(5)));
    CHECK(OwnershipWatch("vm-2-aaaa").observe({}, 0, now, now + Milliseconds(5)));
    OwnerRecord previous = record;
    previous.owner = "vm-2-bbbb";
    CHECK(OwnershipWatch("vm-2-aaaa").observe(previous, 9, now, now + Milliseconds(5)));
    previous.owner = "vm-2-3-bbbb";
    CHECK_FALSE(OwnershipWatch("vm-2-aaaa").observe(previous, 9, now, now + Milliseconds(5)));
}

TEST_CASE("a released cell is left to its successor for a short time")
{
    BootTime now{Milliseconds(100'000)};
    OwnerRecord record{"vm-1-bbbb", "", 2, 0, "", false};
    OwnershipWatch successor("vm-2-aaaa");
    OwnershipWatch other("vm-3-aaaa");
    const auto observe = [&](OwnershipWatch &watch, std::int64_t version) {
        return watch.observe(record, version, now, now + Milliseconds(5));
    };
    CHECK_FALSE(observe(successor, 7));
    CHECK(successor.epochToReadAhead(now) == 0);
    record.leaving = true;
    for (OwnershipWatch *watch : {&successor, &other}) {
        CHECK_FALSE(observe(*watch, 8));
        CHECK(watch->epochToReadAhead(now + Milliseconds(5)) == 2);
    }
    successor.setSuccessor(2, true);
    other.setSuccessor(2, false);
    record.released = true;
    CHECK(observe(successor, 9));
    CHECK_FALSE(observe(other, 9));
    now += successorHeadStart;
    CHECK(observe(other, 9));
    // The next owner has no successor yet, and is not leaving.
    record = {"vm-2-aaaa", "", 3, 0, "", false};
    CHECK_FALSE(observe(other, 10));
    CHECK(other.epochToReadAhead(now) == 0);
    record.released = true;
    CHECK(observe(other, 11));
}

TEST_CASE("a process far from the store reads a cell ahead only if none nearer does")
{
    BootTime now{Milliseconds(100'000)};
    const OwnerRecord leaving{"vm-1-bbbb", "", 2, 0, "", false, true};
    OwnershipWatch watch("vm-2-aaaa");
    const auto observe = [&](std::int64_t version) {
        now += watchInterval;
        return watch.observe(leaving, version, now, now + Milliseconds(30));
    };
    CHECK_FALSE(observe(7));
    CHECK(watch.epochToReadAhead(now) == 0);
    CHECK_FALSE(observe(8));
    CHECK(watch.epochToReadAhead(now) == 0);
    CHECK_FALSE(observe(9));
    CHECK_FALSE(observe(10));
    CHECK(watch.epochToReadAhead(now) == 2);
}

TEST_CASE("the watch states why a cell may be taken over and for how long its row was unchanged")
{
    using Reason = OwnershipWatch::Reason;
    BootTime now{Milliseconds(100'000)};
    OwnershipWatch watch("vm-2-aaaa");
    REQUIRE(watch.observe({}, 0, now, now));
    CHECK(watch.reason() == Reason::NoOwner);
    const OwnerRecord released{"vm-1-bbbb", "", 2, 0, "", true};
    REQUIRE(watch.observe(released, 9, now, now));
    CHECK(watch.reason() == Reason::Released);
    REQUIRE(watch.observe({"vm-2-cccc", "", 2, 0, "", false}, 10, now, now));
    CHECK(watch.reason() == Reason::Restarted);
    const OwnerRecord silent{"vm-1-bbbb", "", 3, 0, "", false};
    while (!watch.observe(silent, 11, now, now))
        now += watchInterval;
    CHECK(watch.reason() == Reason::Unchanged);
    CHECK(watch.unchangedFor() >= ownerTakeoverTimeout);
    CHECK(watch.unchangedFor() < ownerTakeoverTimeout + watchInterval);
}

namespace {

/// Time from when the row was first read until a process on a VM of that size takes over.
Milliseconds takeoverTime(std::int64_t milliCores, const OwnerRecord &record, std::int64_t version)
{
    OwnershipWatch watch("vm-2-aaaa", milliCores);
    const BootTime first{Milliseconds(100'000)};
    BootTime now = first;
    while (!watch.observe(record, version, now, now))
        now += Milliseconds(20);
    return now - first;
}

} // namespace

// After a loss a VM with a quarter of the processors took the cell over and fell behind.
TEST_CASE("a smaller VM lets larger ones take a cell over first, for a bounded time")
{
    OwnerRecord silent{"vm-1-bbbb", "", 3, 0, "", false};
    CHECK(takeoverTime(120, silent, 7) == takeoverTime(500, silent, 7));
    silent.largestMilliCores = 500;
    CHECK(takeoverTime(500, silent, 7) < Milliseconds(2600));
    CHECK(takeoverTime(120, silent, 7) >= takeoverTime(500, silent, 7) + watchInterval);
    CHECK(takeoverTime(120, silent, 7) < Milliseconds(3000));
    OwnerRecord released = silent;
    released.released = true;
    CHECK(takeoverTime(500, released, 7) == Milliseconds(0));
    CHECK(takeoverTime(120, released, 7) <= watchInterval);
    CHECK(takeoverTime(1000, {}, 0) == Milliseconds(0));
    CHECK(takeoverTime(120, {}, 0) >= takeoverTime(500, {}, 0) + watchInterval);
}
