// Estimate of how far a serving task is from its tail target by itself.
#pragma once

#include "lavenderarch/core/boot_clock.h"

namespace lavenderarch {

/// Headroom is the tail target divided by the tail latency: 1 at the target, more below it. One
/// serving run's estimate; kept up to date by TailModel::observe().
struct TailHeadroom
{
    double baseline = 0;       ///< headroom with nothing filling beside; 0: not known yet
    double variance = 0;       ///< of `baseline`
    double observed = 0;       ///< newest figure, with what fills beside
    BootTime saturatedUntil{}; ///< figures still show a queue that builds down until then

    bool known() const { return baseline > 0; }
};

} // namespace lavenderarch
