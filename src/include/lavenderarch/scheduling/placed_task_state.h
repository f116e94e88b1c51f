// State of a placed task that the owner of its cell keeps in memory only.
#pragma once

#include "lavenderarch/core/time.h"
#include "lavenderarch/storage/task_report.h"

namespace lavenderarch {

enum class StopReason { None, Evicted, Evacuated, Cancelled };

/// Value type; not stored, a new owner rebuilds it from reports. `confirmed`: a report showed that
/// the incarnation runs. `report` is the newest report, `renewedAt` the time of the last lease
/// renewal. `throttle` is the requested throttle, `sentThrottle` the one sent last. `stop` is the
/// reason why the task is to be stopped.
struct PlacedTaskState
{
    std::int64_t incarnation = 0;
    bool confirmed = false;
    TaskReport report;
    TimePoint renewedAt;
    StopReason stop = StopReason::None;
    double throttle = 1;
    double sentThrottle = 1;

    friend bool operator==(const PlacedTaskState &, const PlacedTaskState &) = default;
};

} // namespace lavenderarch
