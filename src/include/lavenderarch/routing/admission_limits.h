// Limits of admission control for one minion.
#pragma once

#include <compare>

namespace lavenderarch {

/// Concurrency and queue length of one minion.
struct AdmissionLimits
{
    int slots = 8;           ///< requests that run at the same time
    int maxWaiting = 56;     ///< requests that wait for a slot
    bool refuseEarly = true; ///< refuse requests that cannot finish before their deadline

    friend bool operator==(const AdmissionLimits &, const AdmissionLimits &) = default;
};

} // namespace lavenderarch
