// A batch task as the ladder weighs it.
#pragma once

#include "lavenderarch/core/identifiers.h"

namespace lavenderarch {

/// A batch task on the worker, as the ladder weighs it.
struct MitigationCandidate
{
    TaskId task;
    double harm = 0;       ///< slowdown it is believed to add to the services
    double lostWorkMs = 0; ///< work that an eviction would lose
    double throttle = 1;

    friend bool operator==(const MitigationCandidate &, const MitigationCandidate &) = default;
};

} // namespace lavenderarch
