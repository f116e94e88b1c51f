// Tests of the room that an owner reserves for runs that it does not expect on a minion, and of
// starts that are refused for want of room.
#include "small_minion.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::smallJob;
using lavenderarch::testing::SmallMinion;

namespace {

constexpr BootTime start(Milliseconds(50'000));

} // namespace

// Nothing was reserved for a run of a job that the owner does not know, though it counts on the
// minion until its stop is listed.
TEST_CASE("a run of an unknown job reserves the minion until it ends")
{
    for (const char *task : {"gone.0.0.0", "no task name"}) {
        CAPTURE(task);
        SmallMinion cell;
        cell.request.runs = {{{task, 1}, 50, 100, "", false, 0, true}};
        cell.report(start);
        cell.submit(smallJob("a"), start);
        CHECK(cell.run("a") == 0);
        cell.request.runs.clear();
        cell.request.ends = {{1, {task, 1}, RunOutcome::Stopped, "", ""}};
        cell.report(start + Milliseconds(900));
        cell.store(start + Milliseconds(900));
        CHECK(cell.run("a") == 1);
    }
}

// Brief messages were searched for known runs only, so an unexpected run had no room until the next
// snapshot.
TEST_CASE("an unexpected run in a brief message reserves its room and is stopped")
{
    SmallMinion cell;
    cell.report(start);
    JobSpec job = smallJob("b");
    job.service = "other"; // not placed here
    cell.submit(job, start);
    cell.request.brief = true;
    cell.request.snapshot = cell.request.number;
    cell.request.incarnation = cell.request.facts.incarnation;
    cell.request.runs = {{{"b.0.0.0", 1}, 50, 100, "", false, 0, true}};
    cell.report(start + Milliseconds(100));
    cell.submit(smallJob("a"), start + Milliseconds(100));
    CHECK(cell.run("a") == 0);
    const auto orders = cell.owner.reply("agent", start + Milliseconds(100), true).orders;
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].kind == OrderKind::Stop);
    CHECK(orders[0].reserved() == Resources(800, 200, 0));
}

// A new owner placed runs after the first message, whose list belongs to the former owner, without
// room for the unexpected runs in it, and without a description of the others for the agent.
TEST_CASE("a new owner reserves and describes what the list of its predecessor shows")
{
    SmallMinion cell;
    JobSpec job = smallJob("b");
    job.service = "other";
    cell.submit(job, start);
    cell.request.epoch = 0;
    cell.request.listed = false;
    cell.request.runs = {{{"b.0.0.0", 1}, 50, 100, "", false, 0, true}};
    cell.report(start);
    cell.submit(smallJob("a"), start);
    CHECK(cell.run("a") == 0);
    cell.request.runs.clear();
    cell.request.epoch = 1;
    cell.request.listed = true;
    cell.report(start + Milliseconds(100));
    cell.store(start + Milliseconds(100));
    REQUIRE(cell.run("a") == 1);
    const auto started = cell.owner.reply("agent", start + Milliseconds(100), true).orders;
    REQUIRE(started.size() == 1);
    CHECK(started[0].reserved() == Resources(800, 200, 0));
    cell.request.orderSeen = started[0].sequence;
    cell.request.epoch = 0;
    cell.request.listed = false;
    cell.request.runs = {{{"a.0.0.0", 1}, 50, 100, "", false, 0, true}};
    cell.report(start + Milliseconds(200));
    const auto orders = cell.owner.reply("agent", start + Milliseconds(200), true).orders;
    REQUIRE_FALSE(orders.empty());
    CHECK(orders.back().kind == OrderKind::Describe);
}

// Guards against a loop of placements and refusals between owner and agent.
TEST_CASE("a minion gets no run for half a second after a start was refused there for want of room")
{
    SmallMinion cell;
    cell.report(start);
    cell.submit(smallJob("a"), start);
    REQUIRE(cell.run("a") == 1);
    BootTime now = start;
    for (; now < start + Milliseconds(2000); now += Milliseconds(20)) {
        const auto orders = cell.owner.reply("agent", now, true).orders;
        cell.request.ends.clear();
        if (!orders.empty()) {
            cell.request.orderSeen = orders.back().sequence;
            cell.request.ends = {{0, orders.back().run, RunOutcome::Absent, "", noRoomReason}};
        }
        cell.report(now);
        cell.store(now);
    }
    CHECK(cell.run("a") >= 4);
    CHECK(cell.run("a") <= 5);
}
