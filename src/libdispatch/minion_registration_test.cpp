// Tests of which check-ins count as those of the agent's minion.
#include "lavenderarch/dispatch/minion_registration.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

constexpr BootTime now{Milliseconds(10'000)};

MinionFacts factsOf(const std::string &id, std::int64_t bornMs)
{
    MinionFacts facts;
    facts.incarnation = {id, bornMs};
    return facts;
}

MinionListing listingOf(std::int64_t bornMs)
{
    MinionListing listing;
    listing.bornMs = bornMs;
    return listing;
}

} // namespace

// A check-in with a birth in the future was registered, and each true one was older.
TEST_CASE("a check-in counts once the minion has confirmed its incarnation")
{
    MinionRegistration registration;
    registration.offer(factsOf("odd", 1'000'000), 1, now);
    registration.offer(factsOf("m", 1'000'000), 1, now);
    registration.offer(factsOf("m", 5), 4, now);
    registration.offer(factsOf("m", 5), 3, now); // late
    CHECK(registration.unconfirmed(now).size() == 3);
    CHECK_FALSE(registration.confirm({"m", 1'000'000}, listingOf(5)).has_value());
    CHECK(registration.unconfirmed(now).size() == 2); // it is refuted
    const auto confirmed = registration.confirm({"m", 5}, listingOf(5));
    REQUIRE(confirmed.has_value());
    CHECK(confirmed->sequence == 4);
    CHECK_FALSE(registration.confirm({"m", 5}, listingOf(5)).has_value());
    CHECK(registration.unconfirmed(now + Milliseconds(20'000)).empty());
    for (int born = 1; born <= 1000; ++born)
        registration.offer(factsOf("odd", born), 1, now + Milliseconds(born));
    CHECK(registration.unconfirmed(now + Milliseconds(1000)).size() <= 8);
}
