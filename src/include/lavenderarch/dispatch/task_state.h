// The owner's view of one task.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/minion_incarnation.h"

#include <string>

namespace lavenderarch {

enum class TaskPhase {
    Waiting,  ///< not running anywhere
    Placed,   ///< committed to a minion: ordered, starting or running
    Stopping, ///< as Placed, with a stop ordered
    Done
};

/// Invariant: `agent` and `life` are set exactly in Placed and Stopping, and `run` is then the run
/// that may be active there. All but the last block is stored.
struct TaskState
{
    TaskPhase phase = TaskPhase::Waiting;
    int run = 0;      ///< number of the newest run
    int failures = 0; ///< runs that ended as failed
    std::string agent;
    MinionIncarnation life;
    std::string checkpoint;

    std::string failedAgent;     ///< where the last run failed; placement avoids it
    std::int64_t startOrder = 0; ///< sequence of the start order; 0 when adopted
    std::int64_t stopOrder = 0;  ///< sequence of the newest stop order
    int progressPercent = 0;
    BootTime progressAt{}; ///< when progress was last seen to change
    BootTime placedAt{};
    int pacePercent = 100;
    BootTime slowedAt{}; ///< since when the pace is low; unset: it is not
    int moves = 0;       ///< times it was stopped for a better place

    bool active() const { return phase == TaskPhase::Placed || phase == TaskPhase::Stopping; }
};

} // namespace lavenderarch
