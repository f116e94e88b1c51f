// Monotonic clock for leases. It keeps counting while the VM is suspended.
#pragma once

#include "lavenderarch/core/time.h"

#include <ctime>

namespace lavenderarch {

/// CLOCK_BOOTTIME in milliseconds. Comparable only within one VM. Thread-safe.
struct BootClock
{
    using duration = Milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now()
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(Milliseconds(time.tv_sec * 1000 + time.tv_nsec / 1'000'000));
    }
};

/// A point in time of one VM's BootClock.
using BootTime = BootClock::time_point;

} // namespace lavenderarch
