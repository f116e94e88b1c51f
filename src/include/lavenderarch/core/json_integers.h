// Conversion of JSON numbers to integers, in place of that of the library.
#pragma once

#include "lavenderarch/core/json_fields.h"

#include <limits>

namespace nlohmann {

/// Integers that do not fit into the type are errors, also as part of records: the conversions of
/// the library wrap around, and those of large doubles are undefined.
template <typename Integer>
struct CheckedIntegerSerializer
{
    template <typename Basic>
    static void to_json(Basic &out, Integer value)
    {
        ::nlohmann::to_json(out, value);
    }
    static void from_json(const json &in, Integer &value)
    {
        value = static_cast<Integer>(lavenderarch::toInteger(
            in, "value",
            {std::numeric_limits<Integer>::min(), std::numeric_limits<Integer>::max()}));
    }
};

template <>
struct adl_serializer<int> : CheckedIntegerSerializer<int>
{
};

template <>
struct adl_serializer<std::int64_t> : CheckedIntegerSerializer<std::int64_t>
{
};

} // namespace nlohmann
