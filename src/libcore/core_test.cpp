// Tests of the core value types and the error descriptors.
#include "lavenderarch/core/address.h"
#include "lavenderarch/core/digest.h"
#include "lavenderarch/core/error_descriptor.h"
#include "lavenderarch/core/json.h"
#include "lavenderarch/core/resources.h"
#include "lavenderarch/core/status.h"

#include <doctest/doctest.h>
#include <limits>
#include <set>

using namespace lavenderarch;

TEST_CASE("every error kind has its own descriptor, in the order of the enumeration")
{
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < errorDescriptors().size(); ++index) {
        const ErrorDescriptor &descriptor = errorDescriptors()[index];
        CHECK(static_cast<std::size_t>(descriptor.kind) == index);
        CHECK(errorKindFromName(descriptor.name) == descriptor.kind);
        names.insert(descriptor.name);
    }
    CHECK(names.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);
}

TEST_CASE("a status keeps its kind and message")
{
    const Status status = makeError(ErrorKind::Draining, "leaving");
    CHECK(kindOf(status) == ErrorKind::Draining);
    CHECK(messageOf(status) == "leaving");
}

TEST_CASE("addresses are parsed or rejected with an error that quotes the text")
{
    CHECK(Address::parse("127.0.0.1:80")->port() == 80);
    for (const char *bad : {"", ":80", "host", "host:", "host:0", "host:99999", "host:8x"}) {
        const auto parsed = Address::parse(bad);
        REQUIRE_FALSE(parsed.ok());
        CHECK(messageOf(parsed.status()).find(bad) != std::string::npos);
    }
}

TEST_CASE("resources fit component by component")
{
    const Resources capacity(4000, 1024, 1);
    CHECK(Resources(4000, 1024, 1).fitsInto(capacity));
    CHECK_FALSE(Resources(4001, 1, 0).fitsInto(capacity));
    CHECK_FALSE(Resources(1, 1025, 0).fitsInto(capacity));
    CHECK_FALSE(Resources(1, 1, 2).fitsInto(capacity));
    CHECK((capacity - Resources(1, 2, 1)) == Resources(3999, 1022, 0));
    constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();
    CHECK((Resources(largest, largest, 1) + Resources(1, largest, 1)) ==
          Resources(largest, largest, 2));
    CHECK((Resources(-largest, 0, 0) - Resources(largest, -largest, 0)) ==
          Resources(-largest - 1, largest, 0));
}

TEST_CASE("the digest of a truncated text differs")
{
    CHECK(contentDigest("whole answer") != contentDigest("whole answe"));
    CHECK(contentDigest("").size() == 32);
}

TEST_CASE("invalid JSON is rejected with an error that names the document")
{
    const auto parsed = parseJson("{", "manifest");
    REQUIRE_FALSE(parsed.ok());
    CHECK(messageOf(parsed.status()).find("manifest") == 0);
}
