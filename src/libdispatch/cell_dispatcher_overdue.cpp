// Placement of overdue jobs, which smaller ones have overtaken for long.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "lavenderarch/dispatch/job_objective.h"
#include "lavenderarch/dispatch/queue_catalog.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// A job is overdue after this many times its objective; one that is done before three times its
/// objective is still of some use to its caller.
constexpr int overdueObjectives = 2;
/// Tasks of overdue jobs of each priority that one pass places first. A small part of a pass, so
/// that under overload most jobs are still served in time.
constexpr int maxOverduePlacementsPerPass = 15;
/// Overdue jobs that one pass tries for that.
constexpr int maxOverdueJobsPerPass = 20;

} // namespace

void CellDispatcher::updateOverdueTime(JobModel &job)
{
    const JobSpec &spec = job.spec();
    if (m_catalog == nullptr || isFinal(job.phase()))
        return;
    const auto &queues = m_catalog->queues;
    const auto queue = std::find_if(queues.begin(), queues.end(), [&](const QueuePolicy &each) {
        return each.name == spec.queue;
    });
    const auto target = queue == queues.end() ? std::nullopt : objective(*queue, spec);
    if (!target)
        return;
    m_overdueTimes.erase({spec.priority, job.overdueAt(), spec.id});
    job.setOverdueAt(job.loadedAt() + overdueObjectives * *target);
    m_overdueTimes.emplace(spec.priority, job.overdueAt(), spec.id);
}

/// Places tasks of overdue jobs of `priority`. Returns the number of placed tasks.
int CellDispatcher::placeOverdue(int priority, BootTime now)
{
    int placed = 0;
    int tried = 0;
    for (auto next = m_overdueTimes.lower_bound({priority, BootTime::min(), ""});
         next != m_overdueTimes.end() && tried < maxOverdueJobsPerPass &&
         placed < maxOverduePlacementsPerPass;) {
        const auto &[level, overdueAt, id] = *next;
        if (level != priority || overdueAt > now)
            break;
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end() || isFinal(found->second.phase())) {
            next = m_overdueTimes.erase(next);
            continue;
        }
        ++next;
        JobModel &job = found->second;
        if (job.waitingSteps().empty() || !m_catalog->serves(job.spec().service))
            continue;
        ++tried;
        const int count = placeJob(job, now, maxOverduePlacementsPerPass - placed);
        if (count > 0)
            markDirty(job);
        placed += count;
    }
    m_placementCounts.overdue += placed;
    return placed;
}

} // namespace lavenderarch
