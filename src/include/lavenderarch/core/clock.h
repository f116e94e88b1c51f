// The Clock concept and the system clock.
#pragma once

#include "lavenderarch/core/time.h"

#include <concepts>

namespace lavenderarch {

/// A source of the current time. Scheduling logic never reads a clock; it takes `now` as an
/// argument, which keeps it deterministic.
template <typename T>
concept Clock = requires(const T clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

/// Wall clock of this VM. Thread-safe.
class SystemClock
{
public:
    TimePoint now() const
    {
        return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    }
};

static_assert(Clock<SystemClock>);

} // namespace lavenderarch
