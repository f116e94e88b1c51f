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

TEST_CASE("numbers are converted exactly or rejected with an error that names the field")
{
    const auto read = [](const char *text) {
        return toInteger(Json::parse(text), "born", {-5, 9});
    };
    CHECK(read("9") == 9);
    CHECK(read("-5") == -5);
    CHECK(read("7.0") == 7);
    CHECK(read("-0") == 0);
    CHECK(read("-0.0") == 0);
    for (const char *odd : {"10", "-6", "1.5", "1e300", "-1e300", "18446744073709551615",
                            "9223372036854775808", "12345678901234567890123", "\"7\"", "null"}) {
        CAPTURE(odd);
        CHECK_THROWS_WITH_AS(read(odd), doctest::Contains("born"), Json::exception);
    }
    CHECK(toTruncatedInteger(Json(8.9), "born", {}) == 8);
    CHECK_THROWS_AS(toTruncatedInteger(Json(1e300), "born", {}), Json::exception);
    CHECK(Json(std::int64_t{9223372036854775807}).get<std::int64_t>() == 9223372036854775807);
    CHECK_THROWS_AS(Json(4294967297).get<int>(), Json::exception);
    CHECK_THROWS_AS(Json(9223372036854775808.0).get<std::int64_t>(), Json::exception);
}

TEST_CASE("a text may be nested up to a limit")
{
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    CHECK(parseJson(nested(maxJsonDepth), "x").ok());
    CHECK_FALSE(parseJson(nested(maxJsonDepth + 1), "x").ok());
    const auto list = [](std::size_t count) {
        std::string text = "[0";
        for (std::size_t number = 1; number < count; ++number)
            text += ",0";
        return text + "]";
    };
    // The array itself is a value, too, and so may be its first element.
    CHECK(parseJson(list(maxJsonValues - 1), "x").ok());
    CHECK_FALSE(parseJson(list(maxJsonValues + 1), "x").ok());
    CHECK(parseJson(list(maxJsonValues + 1), "x", 2 * maxJsonValues).ok());
    CHECK(parseJson("\"" + std::string(maxJsonValues + 1, ',') + "\"", "x").ok());
    CHECK_FALSE(parseJson(std::string(5'000'000, '['), "x").ok());
    std::string flat = "[";
    for (int item = 0; item < 1000; ++item)
        flat += R"([{"a\"[[[":["{{"]}],)";
    CHECK(parseJson(flat + "1]", "x").ok());
}
