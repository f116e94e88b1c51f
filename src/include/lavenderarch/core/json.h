// The JSON value type and parsing that reports errors as Status.
#pragma once

#include "lavenderarch/core/json_integers.h"
#include "lavenderarch/core/status.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace lavenderarch {

using Json = nlohmann::json;

/// Nesting of arrays and objects beyond which a text is rejected. Copying, comparing and writing a
/// Json value recurse.
inline constexpr int maxJsonDepth = 64;

/// Number of values beyond which a text is rejected. A parsed value takes up to 100 bytes, however
/// short its text is.
inline constexpr std::size_t maxJsonValues = 100'000;

/// OK if `text` has at most `maxValues` values and is not nested too deeply. Exact up to the first
/// syntax error, where parsing ends.
Status checkJsonSize(std::string_view text, std::string_view what,
                     std::size_t maxValues = maxJsonValues);

/// Parses `text`, the only way to do so for a text that others wrote; `what` names the document in
/// the error message.
StatusOr<Json> parseJson(std::string_view text, std::string_view what,
                         std::size_t maxValues = maxJsonValues);

/// The text of `value`. Bytes that are not UTF-8 become replacement characters.
std::string jsonText(const Json &value);

/// Converts `value` to `Value` (a type with from_json); the error names the missing or wrong field.
template <typename Value>
StatusOr<Value> fromJson(const Json &value, std::string_view what)
{
    try {
        return value.get<Value>();
    } catch (const Json::exception &error) {
        return makeError(ErrorKind::InvalidRequest, std::string(what) + ": " + error.what());
    }
}

/// Parses `text` and converts it; `what` names the document in the error message.
template <typename Value>
StatusOr<Value> parseAs(std::string_view text, std::string_view what)
{
    const auto parsed = parseJson(text, what);
    if (!parsed.ok())
        return parsed.status();
    return fromJson<Value>(*parsed, what);
}

} // namespace lavenderarch
