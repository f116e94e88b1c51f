// An action against interference on a worker.
#pragma once

#include "lavenderarch/core/identifiers.h"

namespace lavenderarch {

/// Throttle limits `task` to the share `throttle` of its processors. Evict stops the task, with a
/// checkpoint if the task is checkpointable.
struct MitigationAction
{
    enum class Kind { Throttle, Evict };

    Kind kind = Kind::Throttle;
    TaskId task;
    double throttle = 1;

    friend bool operator==(const MitigationAction &, const MitigationAction &) = default;
};

} // namespace lavenderarch
