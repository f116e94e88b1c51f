// What the owner of a cell knows of a placed task besides the ledger.
#pragma once

#include "lavenderarch/core/time.h"
#include "lavenderarch/storage/task_report.h"

namespace lavenderarch {

enum class StopReason { None, Evicted, Evacuated, Cancelled };

/// Value type; rebuilt from reports after a takeover. `confirmed`: a report showed the incarnation
/// running. `throttle` is what was asked for, `sentThrottle` what was sent last.
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
