// Integer arithmetic that stops at the limits of the type instead of overflowing.
#pragma once

#include <cstdint>
#include <limits>

namespace lavenderarch {

constexpr std::int64_t saturatingSum(std::int64_t left, std::int64_t right)
{
    std::int64_t sum = 0;
    if (!__builtin_add_overflow(left, right, &sum))
        return sum;
    return left < 0 ? std::numeric_limits<std::int64_t>::min()
                    : std::numeric_limits<std::int64_t>::max();
}

constexpr std::int64_t saturatingDifference(std::int64_t left, std::int64_t right)
{
    std::int64_t difference = 0;
    if (!__builtin_sub_overflow(left, right, &difference))
        return difference;
    return left < 0 ? std::numeric_limits<std::int64_t>::min()
                    : std::numeric_limits<std::int64_t>::max();
}

} // namespace lavenderarch
