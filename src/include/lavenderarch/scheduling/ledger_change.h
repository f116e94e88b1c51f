// One committed change of a cell's ledger.
#pragma once

#include "lavenderarch/scheduling/ledger_task.h"
#include "lavenderarch/storage/worker_info.h"

namespace lavenderarch {

enum class ChangeKind {
    TasksAdded,    ///< `tasks` join the queue
    TaskPlaced,    ///< `task` goes to `worker` as `incarnation`
    TaskRequeued,  ///< `task` is back in the queue; `progress` is what it resumes from
    TaskDone,      ///< `task` finished
    TaskFailed,    ///< `task` failed for good, with `reason`
    TaskCancelled, ///< `task` was cancelled; `progress` < 0 when it never started
    TaskMoved,     ///< `task` was handed to another cell
    JobReported,   ///< the ends counted for `job` were written to its part row
    WorkersChanged ///< `workers` are the workers of the cell from now on
};

NLOHMANN_JSON_SERIALIZE_ENUM(ChangeKind, {{ChangeKind::TasksAdded, "added"},
                                          {ChangeKind::TaskPlaced, "placed"},
                                          {ChangeKind::TaskRequeued, "requeued"},
                                          {ChangeKind::TaskDone, "done"},
                                          {ChangeKind::TaskFailed, "failed"},
                                          {ChangeKind::TaskCancelled, "cancelled"},
                                          {ChangeKind::TaskMoved, "moved"},
                                          {ChangeKind::JobReported, "reported"},
                                          {ChangeKind::WorkersChanged, "workers"}})

/// Value type; fields that a kind does not name keep their defaults and are not written.
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
