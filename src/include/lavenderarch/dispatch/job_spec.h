// A job as it was accepted, with what its queue granted at that moment.
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
    int priority = 0;            ///< 0 comes first
    int attempts = 1;            ///< failed runs of a task after which the job has failed
    bool advised = false;        ///< starts need a ticket of the placement advice
    std::int64_t acceptedMs = 0; ///< time of day, since the epoch
    int occurrences = 0;         ///< 0: runs once, at once
    std::int64_t firstDueMs = 0; ///< time of day of occurrence 0
    std::int64_t intervalMs = 0;

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(JobSpec, id, queue, service, payload, steps,
                                                priority, attempts, advised, acceptedMs,
                                                occurrences, firstDueMs, intervalMs)
};

/// Names the first field that makes `job` impossible to run; OK when it can be accepted.
Status validateJob(const JobSpec &job);

} // namespace lavenderarch
