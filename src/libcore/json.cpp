// JSON parsing and number conversion with limits.
#include "lavenderarch/core/json.h"

#include <cmath>

namespace lavenderarch {
namespace {

[[noreturn]] void throwOutOfRange(const Json &value, const std::string &field, IntegerRange range)
{
    throw Json::other_error::create(501,
                                    field + " is not a whole number from " +
                                        std::to_string(range.min) + " to " +
                                        std::to_string(range.max),
                                    &value);
}

std::int64_t checkRange(std::int64_t number, const Json &value, const std::string &field,
                        IntegerRange range)
{
    if (number < range.min || number > range.max)
        throwOutOfRange(value, field, range);
    return number;
}

/// Requires a double without a fraction.
std::int64_t fromDouble(double number, const Json &value, const std::string &field,
                        IntegerRange range)
{
    // Powers of two, so that the bounds are exact doubles. False for NaN.
    constexpr double limit = 9223372036854775808.0;
    if (!(number >= -limit && number < limit))
        throwOutOfRange(value, field, range);
    return checkRange(static_cast<std::int64_t>(number), value, field, range);
}

} // namespace

std::int64_t toInteger(const Json &value, const std::string &field, IntegerRange range)
{
    if (const auto *natural = value.get_ptr<const Json::number_unsigned_t *>()) {
        if (*natural > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
            throwOutOfRange(value, field, range);
        return checkRange(static_cast<std::int64_t>(*natural), value, field, range);
    }
    if (const auto *integer = value.get_ptr<const Json::number_integer_t *>())
        return checkRange(*integer, value, field, range);
    const auto *number = value.get_ptr<const Json::number_float_t *>();
    if (number == nullptr)
        throw Json::type_error::create(302, field + " is not a number", &value);
    if (std::trunc(*number) != *number)
        throwOutOfRange(value, field, range);
    return fromDouble(*number, value, field, range);
}

std::int64_t toTruncatedInteger(const Json &value, const std::string &field, IntegerRange range)
{
    if (const auto *number = value.get_ptr<const Json::number_float_t *>())
        return fromDouble(std::trunc(*number), value, field, range);
    return toInteger(value, field, range);
}

Status checkJsonSize(std::string_view text, std::string_view what, std::size_t maxValues)
{
    const auto invalid = [&](const std::string &problem) {
        return makeError(ErrorKind::InvalidRequest, std::string(what) + ": " + problem);
    };
    int depth = 0;
    std::size_t values = 1; // each array, object and comma begins at most one value
    bool inString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char letter = text[at];
        if (inString && letter == '\\') {
            ++at;
        } else if (letter == '"') {
            inString = !inString;
        } else if (!inString) {
            const bool opens = letter == '[' || letter == '{';
            if (opens && ++depth > maxJsonDepth)
                return invalid("nested more than " + std::to_string(maxJsonDepth) + " deep");
            if ((opens || letter == ',') && ++values > maxValues)
                return invalid("more than " + std::to_string(maxValues) + " values");
            if (letter == ']' || letter == '}')
                --depth;
        }
    }
    return absl::OkStatus();
}

StatusOr<Json> parseJson(std::string_view text, std::string_view what, std::size_t maxValues)
{
    if (Status size = checkJsonSize(text, what, maxValues); !size.ok())
        return size;
    try {
        return Json::parse(text);
    } catch (const Json::exception &error) {
        return makeError(ErrorKind::InvalidRequest, std::string(what) + ": " + error.what());
    }
}

std::string jsonText(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace lavenderarch
