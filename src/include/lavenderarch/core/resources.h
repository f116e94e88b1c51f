// Resource vectors: processors, memory and accelerators.
#pragma once

#include "lavenderarch/core/saturating.h"

#include <compare>
#include <cstdint>
#include <string>

namespace lavenderarch {

/// Immutable resource vector. Processors in millicores, memory in MiB. Sums and differences stop at
/// the limits of their type, so that a sum that is too large fits into no capacity.
class Resources
{
public:
    constexpr Resources() = default;
    constexpr Resources(std::int64_t milliCores, std::int64_t memoryMib, std::int64_t accelerators)
        : m_milliCores(milliCores)
        , m_memoryMib(memoryMib)
        , m_accelerators(accelerators)
    {
    }

    constexpr std::int64_t milliCores() const { return m_milliCores; }
    constexpr std::int64_t memoryMib() const { return m_memoryMib; }
    constexpr std::int64_t accelerators() const { return m_accelerators; }

    /// True when each component is at most that of `capacity`.
    constexpr bool fitsInto(const Resources &capacity) const
    {
        return m_milliCores <= capacity.m_milliCores && m_memoryMib <= capacity.m_memoryMib &&
               m_accelerators <= capacity.m_accelerators;
    }
    /// True when no component is negative.
    constexpr bool isValid() const
    {
        return m_milliCores >= 0 && m_memoryMib >= 0 && m_accelerators >= 0;
    }
    /// True when no component is negative or above `max`.
    constexpr bool isWithin(std::int64_t max) const
    {
        return isValid() && m_milliCores <= max && m_memoryMib <= max && m_accelerators <= max;
    }
    std::string text() const;

    friend constexpr Resources operator+(const Resources &left, const Resources &right)
    {
        return {saturatingSum(left.m_milliCores, right.m_milliCores),
                saturatingSum(left.m_memoryMib, right.m_memoryMib),
                saturatingSum(left.m_accelerators, right.m_accelerators)};
    }
    friend constexpr Resources operator-(const Resources &left, const Resources &right)
    {
        return {saturatingDifference(left.m_milliCores, right.m_milliCores),
                saturatingDifference(left.m_memoryMib, right.m_memoryMib),
                saturatingDifference(left.m_accelerators, right.m_accelerators)};
    }
    friend constexpr bool operator==(const Resources &, const Resources &) = default;

private:
    std::int64_t m_milliCores = 0;
    std::int64_t m_memoryMib = 0;
    std::int64_t m_accelerators = 0;
};

/// Component-wise maximum.
Resources maximum(const Resources &left, const Resources &right);

} // namespace lavenderarch
