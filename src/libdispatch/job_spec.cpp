// Validation of job specifications.
#include "lavenderarch/dispatch/job_spec.h"

namespace lavenderarch {
namespace {

/// Limit on the tasks of one job, so that its progress fits into one row of the store (64 KiB).
constexpr int maxTasksPerJob = 600;
constexpr int maxOccurrences = 1'000'000;
/// Memory of a job, of a step and of a task, without their texts.
constexpr std::int64_t jobBytes = 2048;
constexpr std::int64_t stepBytes = 512;
constexpr std::int64_t taskBytes = 256;

bool isDuration(std::int64_t milliseconds)
{
    return milliseconds >= 0 && milliseconds <= maxDurationMs;
}

Status fieldError(std::size_t step, const std::string &text)
{
    return makeError(ErrorKind::InvalidRequest, "steps[" + std::to_string(step) + "]." + text);
}

Status validateStep(const StepSpec &step, std::size_t number)
{
    if (step.count < 1 || step.count > maxTasksPerJob)
        return fieldError(number, "count must be from 1 to " + std::to_string(maxTasksPerJob));
    if (!step.demand.isWithin(maxResourceAmount))
        return fieldError(number, "demand is out of range");
    if (!isDuration(step.estimateMs))
        return fieldError(number, "estimateMs is out of range");
    if (!isDuration(step.tailTargetMs))
        return fieldError(number, "tailTargetMs is out of range");
    if (step.maxPerMinion < 0 || step.maxUnavailable < 0)
        return fieldError(number, "limits must not be negative");
    for (const int before : step.after) {
        if (before < 0 || before >= static_cast<int>(number))
            return fieldError(number, "after must name earlier steps");
    }
    return absl::OkStatus();
}

} // namespace

Status validateJob(const JobSpec &job)
{
    const auto invalid = [](const std::string &text) {
        return makeError(ErrorKind::InvalidRequest, text);
    };
    // With these limits the time of the last occurrence fits into 64 bits.
    if (job.occurrences < 0 || job.occurrences > maxOccurrences)
        return invalid("occurrences must be from 0 to " + std::to_string(maxOccurrences));
    if (job.firstDueMs < -maxExactInteger || job.firstDueMs > maxExactInteger)
        return invalid("firstDueMs is out of range");
    if (!isDuration(job.intervalMs))
        return invalid("intervalMs is out of range");
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

std::int64_t estimatedMemoryKib(const JobSpec &job)
{
    constexpr std::int64_t bytesPerKib = 1024;
    // The payload is copied into the orders of running tasks.
    std::int64_t bytes = jobBytes + 2 * static_cast<std::int64_t>(job.payload.size());
    for (const StepSpec &step : job.steps) {
        const std::size_t texts =
            step.requiredLabel.size() + step.preferredRack.size() + step.image.size();
        bytes += stepBytes + taskBytes * step.count +
                 static_cast<std::int64_t>(texts + sizeof(int) * step.after.size());
    }
    return (bytes + bytesPerKib - 1) / bytesPerKib;
}

} // namespace lavenderarch
