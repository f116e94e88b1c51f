// Critical path and objective of a job.
#include "lavenderarch/dispatch/job_objective.h"

#include <algorithm>

namespace lavenderarch {

Milliseconds criticalPath(const JobSpec &job)
{
    Milliseconds longest{0};
    std::vector<Milliseconds> paths; // up to the end of each step; steps depend on earlier ones
    for (const StepSpec &step : job.steps) {
        Milliseconds path{0};
        for (const int before : step.after)
            path = std::max(path, paths[static_cast<std::size_t>(before)]);
        paths.push_back(path + Milliseconds(step.estimateMs));
        longest = std::max(longest, paths.back());
    }
    return longest;
}

std::optional<Milliseconds> objective(const QueuePolicy &queue, const JobSpec &job)
{
    const bool longRunning = std::any_of(job.steps.begin(), job.steps.end(),
                                         [](const StepSpec &step) { return step.longRunning; });
    if (queue.objectiveMs <= 0 || longRunning || job.occurrences > 0)
        return std::nullopt;
    const auto path = static_cast<double>(criticalPath(job).count());
    const double stretched = std::min(queue.stretch * path, static_cast<double>(maxExactInteger));
    return Milliseconds(queue.objectiveMs + static_cast<std::int64_t>(stretched));
}

} // namespace lavenderarch
