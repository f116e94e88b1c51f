// A batch task that may be throttled or evicted.
#pragma once

#include "lavenderarch/core/identifiers.h"

namespace lavenderarch {

/// A batch task on a worker, with the estimates by which a policy selects the task to throttle
/// or evict.
struct MitigationCandidate
{
    TaskId task;
    double harm = 0;       ///< estimated slowdown that it adds to the services
    double lostWorkMs = 0; ///< run time that an eviction would lose
    double throttle = 1;   ///< share of its processors that it may use at present

    friend bool operator==(const MitigationCandidate &, const MitigationCandidate &) = default;
};

} // namespace lavenderarch
