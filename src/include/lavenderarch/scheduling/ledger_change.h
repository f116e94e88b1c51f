// One committed change of a cell's ledger.
#pragma once

#include "lavenderarch/core/json_enum.h"
#include "lavenderarch/scheduling/ledger_task.h"
#include "lavenderarch/storage/worker_info.h"

namespace lavenderarch {

enum class ChangeKind {
    TasksAdded,    ///< `tasks` join the queue
    TaskPlaced,    ///< `task` is placed on `worker` as `incarnation`
    TaskRequeued,  ///< `task` returns to the queue and resumes from `progress`
    TaskDone,      ///< `task` finished
    TaskFailed,    ///< `task` failed permanently, with `reason`
    TaskCancelled, ///< `task` was cancelled; `incarnation` is 0 if it never started
    TaskMoved,     ///< `task` was handed to another cell
    JobReported,   ///< the ended tasks of `job` were added to its part row
    WorkersChanged ///< `workers` replaces the cell's list of workers
};

LAVENDER_JSON_ENUM(ChangeKind, {{ChangeKind::TasksAdded, "added"},
                                {ChangeKind::TaskPlaced, "placed"},
                                {ChangeKind::TaskRequeued, "requeued"},
                                {ChangeKind::TaskDone, "done"},
                                {ChangeKind::TaskFailed, "failed"},
                                {ChangeKind::TaskCancelled, "cancelled"},
                                {ChangeKind::TaskMoved, "moved"},
                                {ChangeKind::JobReported, "reported"},
                                {ChangeKind::WorkersChanged, "workers"}})

/// Value type. Fields that a kind does not use keep their defaults and are not written.
struct LedgerChange
{
    ChangeKind kind = ChangeKind::TasksAdded;
    TaskId task;
    JobKey job;
    std::int64_t incarnation = 0;
    WorkerId worker;
    Resources reserved;
    TimePoint startBy;
    TimePoint at;
    double progress = 0;
    bool failedHere = false; ///< TaskRequeued: the incarnation failed on its worker
    std::string reason;
    std::vector<LedgerTask> tasks;
    std::vector<WorkerInfo> workers;

    friend bool operator==(const LedgerChange &, const LedgerChange &) = default;
};

void to_json(Json &out, const LedgerChange &change);
void from_json(const Json &in, LedgerChange &change);

} // namespace lavenderarch
