// The cell owner's state of one task.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/minion_incarnation.h"

#include <string>

namespace lavenderarch {

enum class TaskPhase {
    Waiting,  ///< no run is active
    Placed,   ///< assigned to a minion: ordered, starting or running
    Stopping, ///< like Placed, and a stop has been ordered
    Done
};

/// Invariant: `agent` and `incarnation` are set only in Placed and Stopping; `run` is then the run
/// that may be active there. Only the members before the empty line are stored.
struct TaskState
{
    TaskPhase phase = TaskPhase::Waiting;
    int run = 0;      ///< number of the latest run; 0: none yet
    int failures = 0; ///< number of failed runs
    std::string agent;
    MinionIncarnation incarnation;
    std::string checkpoint;

    std::string failedAgent;     ///< agent where the last run failed; placement avoids it
    std::int64_t startOrder = 0; ///< sequence of the start order; 0 when adopted
    std::int64_t stopOrder = 0;  ///< sequence of the latest stop order
    int progressPercent = 0;
    BootTime progressAt{}; ///< time of the last change of the progress
    BootTime placedAt{};
    int pacePercent = 100;
    BootTime slowedAt{}; ///< time since which the pace is low; unset: it is not low
    int moves = 0;       ///< number of times it was stopped to move to a better minion

    bool active() const { return phase == TaskPhase::Placed || phase == TaskPhase::Stopping; }
};

} // namespace lavenderarch
