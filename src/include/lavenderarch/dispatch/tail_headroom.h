// Estimate of a serving run's tail latency headroom.
#pragma once

#include "lavenderarch/core/boot_clock.h"

namespace lavenderarch {

/// Headroom is the tail target divided by the tail latency: 1 at the target, more when the latency
/// is lower. Holds the estimate for one serving run, which TailModel::observe() updates.
struct TailHeadroom
{
    double baseline = 0;       ///< headroom without best-effort runs; 0: not known yet
    double variance = 0;       ///< variance of `baseline`
    double observed = 0;       ///< newest measurement, lowered by best-effort runs
    BootTime saturatedUntil{}; ///< until then, measurements show a queue that still drains

    bool known() const { return baseline > 0; }
};

} // namespace lavenderarch
