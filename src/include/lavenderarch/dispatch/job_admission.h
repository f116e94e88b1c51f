// Decides from the expected wait whether a new job can still be of use to its caller.
#pragma once

#include "lavenderarch/core/status.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/dispatch/job_spec.h"
#include "lavenderarch/dispatch/queue_policy.h"

#include <optional>

namespace lavenderarch {

/// OK, or Overloaded with a time to retry after when the job, of which the first task starts after
/// `wait`, is expected to be done so late that it is of no use (usefulObjectives). A job is
/// admitted if its wait is unknown or if it has no objective.
Status admitJob(std::optional<Milliseconds> wait, const QueuePolicy &queue, const JobSpec &job);

} // namespace lavenderarch
