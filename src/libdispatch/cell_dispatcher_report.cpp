// Log lines about the work of placement and about what waiting tasks wait for.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "placement.h"

namespace lavenderarch {
namespace {

/// Minimum time between two log lines about the work of placement.
constexpr Milliseconds reportInterval{1000};

std::string percentText(std::int64_t part, std::int64_t whole)
{
    return std::to_string(whole > 0 ? 100 * part / whole : 0);
}

} // namespace

/// Logs the work of placement since the last report and the unfinished jobs of each queue.
void CellDispatcher::reportPlacement(BootTime now)
{
    const PlacementCounts &counts = m_placementCounts;
    if (now < m_nextReport || counts == m_reportedCounts)
        return;
    m_nextReport = now + reportInterval;
    const PlacementCounts last = std::exchange(m_reportedCounts, counts);
    std::map<std::string, std::pair<int, int>> queues; // unfinished jobs, those without a run
    for (const auto &[priority, accepted, id] : m_unfinishedJobs) {
        const auto job = m_jobs.find(id);
        if (job == m_jobs.end())
            continue;
        auto &[unfinished, idle] = queues[job->second.spec().queue];
        ++unfinished;
        idle += job->second.activeRuns() == 0 ? 1 : 0;
    }
    std::string lengths;
    for (const auto &[queue, jobs] : queues)
        lengths += (lengths.empty() ? "" : ", ") + queue + " " + std::to_string(jobs.first) +
                   " (idle " + std::to_string(jobs.second) + ")";
    recordEvent("placement passes", {{"passes", std::to_string(counts.passes - last.passes)},
                                     {"jobs", std::to_string(counts.jobs - last.jobs)},
                                     {"searches", std::to_string(counts.searches - last.searches)},
                                     {"minions", std::to_string(counts.minions - last.minions)},
                                     {"placed", std::to_string(counts.placed - last.placed)},
                                     {"exempt", std::to_string(counts.exempt - last.exempt)},
                                     {"overdue", std::to_string(counts.overdue - last.overdue)},
                                     {"unfinishedJobs", lengths}});
    reportWaiting(now);
}

/// Logs, for the first waiting task of each queue, on how many minions which obstacle keeps it from
/// running.
void CellDispatcher::reportWaiting(BootTime now)
{
    std::map<std::string, int> waitingJobs; // by queue
    for (const auto &[key, job] : m_waitingJobs) {
        if (++waitingJobs[job->spec().queue] > 1)
            continue;
        const JobModel::WaitingStep &waiting = job->waitingSteps().front();
        const StepSpec &step = job->spec().steps[waiting.step];
        const TaskState task;
        const PlacementRequest request{&job->spec(),         &step,        &task,
                                       &m_closedDataCentres, &m_tailModel, job->activeRuns() == 0};
        std::map<PlacementObstacle, int> obstacles;
        for (const auto &[agent, view] : m_minions)
            ++obstacles[placementObstacle(view, request, now)];
        std::string list;
        for (const auto &[obstacle, count] : obstacles)
            list += (list.empty() ? "" : ", ") + std::string(obstacleName(obstacle)) + " " +
                    std::to_string(count);
        recordEvent("first waiting task of the queue",
                    {{"queue", job->spec().queue},
                     {"job", job->spec().id},
                     {"demand", step.demand.text()},
                     {"maxPerMinion", std::to_string(step.maxPerMinion)},
                     {"waitingMs", std::to_string((now - job->loadedAt()).count())},
                     {"minions", list}});
    }
    Resources capacity;
    Resources reserved;
    for (const auto &[agent, view] : m_minions) {
        if (!view.registered)
            continue;
        capacity = capacity + view.facts.capacity;
        reserved = reserved + view.used;
    }
    recordEvent(
        "use of the cell",
        {{"reservedCoresPercent", percentText(reserved.milliCores(), capacity.milliCores())},
         {"reservedMemoryPercent", percentText(reserved.memoryMib(), capacity.memoryMib())}});
}

} // namespace lavenderarch
