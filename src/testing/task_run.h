// One run of a task on a worker, recorded for the history checks of tests.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"
#include "lavenderarch/storage/task_report.h"

namespace lavenderarch {

/// `endedAt` is zero while the task runs.
struct TaskRun
{
    TaskId task;
    std::int64_t incarnation = 0;
    WorkerId worker;
    DataCentreName dataCentre;
    TimePoint startedAt;
    TimePoint endedAt;
    double startProgress = 0;
    double endProgress = 0;
    double workMs = 0; ///< core-milliseconds of the whole task without interference
    TaskRunState end = TaskRunState::Running;

    friend bool operator==(const TaskRun &, const TaskRun &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(TaskRun, task, incarnation, worker, dataCentre, startedAt,
                                   endedAt, startProgress, endProgress, workMs, end)
};

} // namespace lavenderarch
