// Time types. Deadlines are stored as absolute wall-clock times, never as durations.
#pragma once

#include <chrono>
#include <cstdint>

namespace lavenderarch {

using Milliseconds = std::chrono::milliseconds;
/// A point in wall-clock time with millisecond resolution; comparable between VMs up to clock skew.
using TimePoint = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// Largest clock difference between two VMs that leases and deadlines tolerate.
inline constexpr Milliseconds maxClockSkew{250};

/// Milliseconds since the Unix epoch.
inline std::int64_t toEpochMs(TimePoint time)
{
    return time.time_since_epoch().count();
}

inline TimePoint fromEpochMs(std::int64_t milliseconds)
{
    return TimePoint(Milliseconds(milliseconds));
}

} // namespace lavenderarch
