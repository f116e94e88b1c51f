// Admission of a job by its expected wait.
#include "lavenderarch/dispatch/job_admission.h"

#include "lavenderarch/dispatch/job_objective.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Limit on Retry-After: a backlog may shrink faster than expected when the load ends.
constexpr Milliseconds maxRetryAfter{10'000};

} // namespace

Status admitJob(std::optional<Milliseconds> wait, const QueuePolicy &queue, const JobSpec &job)
{
    const auto target = objective(queue, job);
    if (!wait || !target)
        return absl::OkStatus();
    const Milliseconds expected = *wait + criticalPath(job);
    const Milliseconds limit = usefulObjectives * *target;
    if (expected <= limit)
        return absl::OkStatus();
    const auto retryAfter =
        std::chrono::ceil<std::chrono::seconds>(std::min(expected - limit, maxRetryAfter));
    return withRetryAfter(makeError(ErrorKind::Overloaded,
                                    "backlog: expected in " + std::to_string(expected.count()) +
                                        " ms, limit " + std::to_string(limit.count()) + " ms"),
                          retryAfter.count());
}

} // namespace lavenderarch
