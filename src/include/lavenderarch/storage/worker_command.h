// A command to a worker.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_enum.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

enum class WorkerCommandKind { Start, Stop, Checkpoint, Throttle, Renew };

LAVENDER_JSON_ENUM(WorkerCommandKind, {{WorkerCommandKind::Start, "start"},
                                       {WorkerCommandKind::Stop, "stop"},
                                       {WorkerCommandKind::Checkpoint, "checkpoint"},
                                       {WorkerCommandKind::Throttle, "throttle"},
                                       {WorkerCommandKind::Renew, "renew"}})

/// Value type. A worker rejects a command whose (epoch, incarnation) is lower than the highest it
/// has seen for the task, and a start after `startBy`. It stops the task itself at
/// `leaseDeadline`. Checkpoint writes the progress to the object store, then stops the task.
struct WorkerCommand
{
    WorkerCommandKind kind = WorkerCommandKind::Start;
    TaskId task;
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;
    TimePoint startBy;
    TimePoint leaseDeadline;
    Resources resources; ///< reserved for the task on the worker
    Resources declared;  ///< what the job declared for it
    std::string workClass;
    std::int64_t durationMs = 0; ///< declared run time; 0: runs until stopped
    double progress = 0;         ///< where a start resumes, 0..1
    double throttle = 1;         ///< share of its processors the task may use
    bool latencyCritical = false;

    friend bool operator==(const WorkerCommand &, const WorkerCommand &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(WorkerCommand, kind, task, incarnation, epoch, startBy,
                                   leaseDeadline, resources, declared, workClass, durationMs,
                                   progress, throttle, latencyCritical)
};

} // namespace lavenderarch
