// Quarantine of workers on which tasks fail.
#include "lavenderarch/scheduling/worker_health.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr int failuresBeforeQuarantine = 3;
constexpr std::size_t jobsBeforeQuarantine = 2;
constexpr Milliseconds initialQuarantine{30'000};
constexpr int maxDoublings = 6;

} // namespace

void WorkerHealth::noteFailure(const WorkerId &worker, const JobKey &job, TimePoint now)
{
    Record &record = m_records[worker];
    record.failedJobs.insert(job);
    ++record.consecutiveFailures;
    const bool failsSeveralJobs = record.consecutiveFailures >= failuresBeforeQuarantine &&
                                  record.failedJobs.size() >= jobsBeforeQuarantine;
    const bool failedProbation = record.quarantines > 0;
    if (!failsSeveralJobs && !failedProbation)
        return;
    record.quarantinedUntil =
        now + initialQuarantine * (1 << std::min(record.quarantines, maxDoublings));
    ++record.quarantines;
    record.consecutiveFailures = 0;
}

void WorkerHealth::noteSuccess(const WorkerId &worker)
{
    m_records.erase(worker);
}

bool WorkerHealth::isQuarantined(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && found->second.quarantinedUntil > now;
}

bool WorkerHealth::isOnProbation(const WorkerId &worker) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && found->second.quarantines > 0;
}

} // namespace lavenderarch
