// Specification of an accepted job, including what its queue granted at acceptance.
#pragma once

#include "lavenderarch/dispatch/step_spec.h"

namespace lavenderarch {

/// Value type, immutable after acceptance.
struct JobSpec
{
    std::string id;
    std::string queue;   ///< name under which pending jobs are counted
    std::string service; ///< pool of minions that runs the tasks
    std::string payload; ///< handed to each task unchanged
    std::vector<StepSpec> steps;
    int priority = 0;            ///< 0 is the highest
    int attempts = 1;            ///< failed runs of one task after which the job fails
    bool advised = false;        ///< each start needs a ticket from the placement advice
    std::int64_t acceptedMs = 0; ///< time of day, since the epoch
    int occurrences = 0;         ///< number of timed occurrences; 0: runs once, immediately
    std::int64_t firstDueMs = 0; ///< time of day of occurrence 0
    std::int64_t intervalMs = 0; ///< time between two occurrences

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(JobSpec, id, queue, service, payload, steps,
                                                priority, attempts, advised, acceptedMs,
                                                occurrences, firstDueMs, intervalMs)
};

/// Returns an error that names the first invalid field, or OK when `job` can be accepted.
Status validateJob(const JobSpec &job);

/// Memory in KiB, rounded up, that the owner of the job's cell needs for it until it ends.
std::int64_t estimatedMemoryKib(const JobSpec &job);

} // namespace lavenderarch
