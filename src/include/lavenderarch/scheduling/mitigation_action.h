// A step of the response to interference on a worker.
#pragma once

#include "lavenderarch/core/identifiers.h"

namespace lavenderarch {

/// Throttle sets the share of its processors a task may use; Evict stops it, by a checkpoint when
/// the task allows one.
struct MitigationAction
{
    enum class Kind { Throttle, Evict };

    Kind kind = Kind::Throttle;
    TaskId task;
    double throttle = 1;

    friend bool operator==(const MitigationAction &, const MitigationAction &) = default;
};

} // namespace lavenderarch
