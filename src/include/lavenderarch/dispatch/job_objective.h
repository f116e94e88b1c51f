// The time in which a job should be done, according to its queue and its steps.
#pragma once

#include "lavenderarch/core/time.h"
#include "lavenderarch/dispatch/job_spec.h"
#include "lavenderarch/dispatch/queue_policy.h"

#include <optional>

namespace lavenderarch {

/// Declared duration of the longest chain of dependent steps.
Milliseconds criticalPath(const JobSpec &job);

/// Time from the acceptance of the job in which it should be done. Nothing if the queue states
/// none, or if the job runs until it is cancelled or at set times.
std::optional<Milliseconds> objective(const QueuePolicy &queue, const JobSpec &job);

} // namespace lavenderarch
