// Stored row from which entries answer queries about a job.
#pragma once

#include "lavenderarch/dispatch/job_phase.h"

#include <string>

namespace lavenderarch {

/// Value type.
struct JobStateRow
{
    std::string queue;
    JobPhase phase = JobPhase::Queued;
    bool timed = false; ///< has timed occurrences, so it can stay queued for a long time

    friend bool operator==(const JobStateRow &, const JobStateRow &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(JobStateRow, queue, phase, timed)
};

} // namespace lavenderarch
