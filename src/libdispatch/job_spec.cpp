// Validation of job specifications.
#include "lavenderarch/dispatch/job_spec.h"

#include <cmath>

namespace lavenderarch {
namespace {

/// Limit on the tasks of one job, so that its progress fits into one row of the store (64 KiB).
constexpr int maxTasksPerJob = 600;

Status fieldError(std::size_t step, const std::string &text)
{
    return makeError(ErrorKind::InvalidRequest, "steps[" + std::to_string(step) + "]." + text);
}

Status validateStep(const StepSpec &step, std::size_t number)
{
    if (step.count < 1)
        return fieldError(number, "count must be at least 1");
    if (!step.demand.isValid())
        return fieldError(number, "demand must not be negative");
    for (const int before : step.after) {
        if (before < 0 || before >= static_cast<int>(number))
            return fieldError(number, "after must name earlier steps");
    }
    return absl::OkStatus();
}

} // namespace

Status validateJob(const JobSpec &job)
{
    if (job.steps.empty())
        return makeError(ErrorKind::InvalidRequest, "steps must not be empty");
    int tasks = 0;
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        Status valid = validateStep(job.steps[number], number);
        if (!valid.ok())
            return valid;
        tasks += job.steps[number].count;
    }
    if (tasks > maxTasksPerJob)
        return makeError(ErrorKind::InvalidRequest,
                         "steps have more than " + std::to_string(maxTasksPerJob) + " tasks");
    return absl::OkStatus();
}

} // namespace lavenderarch
