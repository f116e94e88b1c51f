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
    bool timed = false;         ///< has timed occurrences, so it can stay queued for a long time
    std::int64_t memoryKib = 0; ///< see estimatedMemoryKib(); 0 once the job has ended

    friend bool operator==(const JobStateRow &, const JobStateRow &) = default;
};

/// Every member has the key of its name, except that `memoryKib` has the key "kib". A missing key
/// takes the default of its member; a value of a wrong type throws Json::exception.
void to_json(Json &out, const JobStateRow &row);
void from_json(const Json &in, JobStateRow &row);

} // namespace lavenderarch
