// Reads fields of JSON values from writers that may be wrong: the type and range of each value are
// checked, and an error names the field.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lavenderarch {

/// Largest integer up to which doubles, and so all JSON parsers, hold every integer exactly. Sums
/// of a thousand such values fit into 64 bits. In milliseconds it is 285,000 years.
inline constexpr std::int64_t maxExactInteger = (std::int64_t{1} << 53) - 1;

struct IntegerRange
{
    std::int64_t min = 0;
    std::int64_t max = maxExactInteger;
};

/// The whole number that `value` holds as an integer or as a double. Throws an exception that names
/// `field`: Json::type_error if it holds no number, Json::other_error if it is not in `range`.
std::int64_t toInteger(const nlohmann::json &value, const std::string &field, IntegerRange range);
/// The same; drops the fraction of a double first.
std::int64_t toTruncatedInteger(const nlohmann::json &value, const std::string &field,
                                IntegerRange range);

/// The field `key`, which must be there.
template <typename Value>
Value fieldAt(const nlohmann::json &object, const std::string &key)
{
    const nlohmann::json &value = object.at(key);
    try {
        return value.get<Value>();
    } catch (const nlohmann::json::exception &error) {
        throw nlohmann::json::other_error::create(501, key + ": " + error.what(), &value);
    }
}

/// The field `key`, or `missing` without one.
template <typename Value>
Value fieldOr(const nlohmann::json &object, const std::string &key, Value missing)
{
    return object.contains(key) ? fieldAt<Value>(object, key) : std::move(missing);
}

inline std::int64_t integerAt(const nlohmann::json &object, const std::string &key,
                              IntegerRange range = {})
{
    return toInteger(object.at(key), key, range);
}

inline std::int64_t integerOr(const nlohmann::json &object, const std::string &key,
                              std::int64_t missing, IntegerRange range = {})
{
    return object.contains(key) ? integerAt(object, key, range) : missing;
}

/// As integerOr() with toTruncatedInteger().
inline std::int64_t truncatedOr(const nlohmann::json &object, const std::string &key,
                                std::int64_t missing, IntegerRange range = {})
{
    return object.contains(key) ? toTruncatedInteger(object.at(key), key, range) : missing;
}

} // namespace lavenderarch
