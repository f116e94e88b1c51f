// Tests of the endpoint table: late, duplicate and reordered announcements.
#include "lavenderarch/membership/endpoint_table.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lavenderarch;

namespace {

const ServiceName courseDesk("course-desk");

Announcement makeAnnouncement(const std::string &id, std::int64_t incarnation,
                              std::int64_t sequence, EndpointState state, std::int64_t deadlineMs)
{
    Announcement announcement;
    announcement.endpoint = EndpointId(id);
    announcement.service = courseDesk;
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    announcement.state = state;
    announcement.deadline = fromEpochMs(deadlineMs);
    return announcement;
}

} // namespace

TEST_CASE("a late announcement does not return a draining endpoint to service")
{
    EndpointTable table;
    const TimePoint now = fromEpochMs(0);
    CHECK(table.apply(makeAnnouncement("m1", 1, 1, EndpointState::Serving, 1500), now));
    CHECK(table.serving()->of(courseDesk).size() == 1);
    CHECK(table.apply(makeAnnouncement("m1", 1, 3, EndpointState::Draining, 1500), now));
    CHECK(table.serving()->of(courseDesk).empty());
    CHECK_FALSE(table.apply(makeAnnouncement("m1", 1, 2, EndpointState::Serving, 1500), now));
    table.apply(makeAnnouncement("m1", 1, 4, EndpointState::Serving, 1500), now);
    CHECK(table.serving()->of(courseDesk).empty());
    CHECK(table.apply(makeAnnouncement("m1", 2, 1, EndpointState::Serving, 1500), now));
    CHECK(table.serving()->of(courseDesk).size() == 1);
}

TEST_CASE("an endpoint without announcements expires and an older incarnation is ignored")
{
    EndpointTable table;
    table.apply(makeAnnouncement("m1", 5, 1, EndpointState::Serving, 1500), fromEpochMs(0));
    table.expire(fromEpochMs(1499));
    CHECK(table.serving()->of(courseDesk).size() == 1);
    table.expire(fromEpochMs(1500));
    CHECK(table.serving()->of(courseDesk).empty());
    CHECK_FALSE(
        table.apply(makeAnnouncement("m1", 4, 9, EndpointState::Serving, 9000), fromEpochMs(1600)));
    CHECK(
        table.apply(makeAnnouncement("m1", 5, 2, EndpointState::Serving, 9000), fromEpochMs(1600)));
    table.expire(fromEpochMs(200'000));
    CHECK(table.all().empty());
}

TEST_CASE("any order of the same announcements ends in the same table")
{
    const bool holds = rc::check("order does not matter", [](std::vector<int> order) {
        std::vector<Announcement> announcements;
        for (std::size_t index = 0; index < order.size(); ++index) {
            const auto sequence = static_cast<std::int64_t>(index) + 1;
            const auto state =
                order[index] % 3 == 0 ? EndpointState::Draining : EndpointState::Serving;
            announcements.push_back(
                makeAnnouncement("m1", 1 + sequence / 4, sequence, state, 1000));
        }
        EndpointTable inOrder;
        for (const Announcement &announcement : announcements)
            inOrder.apply(announcement, fromEpochMs(0));
        EndpointTable reversed;
        for (auto it = announcements.rbegin(); it != announcements.rend(); ++it) {
            reversed.apply(*it, fromEpochMs(0));
            reversed.apply(*it, fromEpochMs(0));
        }
        RC_ASSERT(inOrder.all().size() == reversed.all().size());
        if (!announcements.empty()) {
            RC_ASSERT(inOrder.all()[0].sequence == reversed.all()[0].sequence);
        }
    });
    CHECK(holds);
}
