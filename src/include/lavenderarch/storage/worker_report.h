// Delayed status report of a worker.
#pragma once

#include "lavenderarch/storage/task_report.h"

#include <vector>

namespace lavenderarch {

/// `measuredAt` is when the values were measured; `tasks` holds running tasks and those that ended
/// since they were last confirmed by a newer command.
struct WorkerReport
{
    WorkerId worker;
    TimePoint measuredAt;
    std::vector<TaskReport> tasks;

    friend bool operator==(const WorkerReport &, const WorkerReport &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(WorkerReport, worker, measuredAt, tasks)
};

} // namespace lavenderarch
