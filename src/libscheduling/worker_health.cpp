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
    Entry &entry = m_entries[worker];
    entry.failedJobs.insert(job);
    ++entry.consecutiveFailures;
    const bool failsSeveralJobs = entry.consecutiveFailures >= failuresBeforeQuarantine &&
                                  entry.failedJobs.size() >= jobsBeforeQuarantine;
    const bool failedProbation = entry.quarantines > 0;
    if (!failsSeveralJobs && !failedProbation)
        return;
    entry.quarantinedUntil =
        now + initialQuarantine * (1 << std::min(entry.quarantines, maxDoublings));
    ++entry.quarantines;
    entry.consecutiveFailures = 0;
}

void WorkerHealth::noteSuccess(const WorkerId &worker)
{
    m_entries.erase(worker);
}

bool WorkerHealth::isQuarantined(const WorkerId &worker, TimePoint now) const
{
    const auto found = m_entries.find(worker);
    return found != m_entries.end() && found->second.quarantinedUntil > now;
}

bool WorkerHealth::isOnProbation(const WorkerId &worker) const
{
    const auto found = m_entries.find(worker);
    return found != m_entries.end() && found->second.quarantines > 0;
}

} // namespace lavenderarch
