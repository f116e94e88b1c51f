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
