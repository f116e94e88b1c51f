// State of a task in a cell's ledger.
#pragma once

#include "lavenderarch/core/json_enum.h"
#include "lavenderarch/scheduling/task_spec.h"

#include <memory>

namespace lavenderarch {

enum class TaskPhase { Queued, Placed };

LAVENDER_JSON_ENUM(TaskPhase, {{TaskPhase::Queued, "queued"}, {TaskPhase::Placed, "placed"}})

/// Value type. `incarnation` counts the placements of the task; only the latest may run.
/// `worker`, `reserved`, `startBy` and `placedAt` are meaningful while Placed.
struct LedgerTask
{
    TaskId id;
    TaskSpec spec;
    TaskPhase phase = TaskPhase::Queued;
    std::int64_t incarnation = 0;
    WorkerId worker;
    Resources reserved;
    TimePoint startBy;
    TimePoint placedAt;
    TimePoint queuedAt;
    double progress = 0;            ///< saved by the latest checkpoint, 0..1
    std::vector<WorkerId> failedOn; ///< workers where an incarnation failed

    friend bool operator==(const LedgerTask &, const LedgerTask &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(LedgerTask, id, spec, phase, incarnation, worker, reserved,
                                   startBy, placedAt, queuedAt, progress, failedOn)
};

} // namespace lavenderarch
