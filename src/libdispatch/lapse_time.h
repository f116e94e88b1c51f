// When a lease counts as lapsed.
#pragma once

#include "lavenderarch/core/time.h"

namespace lavenderarch {

/// Time from the start of a lease of `leaseMs` until it counts as lapsed: the minion's clock may
/// run 2 % slow, and messages take time.
inline Milliseconds lapseTime(std::int64_t leaseMs)
{
    constexpr double clockDrift = 1.02;
    constexpr Milliseconds leaseMargin{300};
    const double drifted = static_cast<double>(leaseMs) * clockDrift;
    return Milliseconds(static_cast<std::int64_t>(drifted)) + leaseMargin;
}

} // namespace lavenderarch
