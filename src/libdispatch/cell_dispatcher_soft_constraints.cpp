// Soft constraints hold a task back for the sake of other tasks: room kept for another job, room
// left to short tasks, and the least pace of best-effort tasks. This bounds the time for which they
// do so beside room, so that no accepted task waits for good.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "lavenderarch/dispatch/queue_catalog.h"
#include "placement.h"
#include "step_tasks.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Longest time on end for which a task is held back beside room for it twice over.
constexpr Milliseconds maxHoldBack{2000};

/// Services that have reserved less than half of the processors of their minions.
std::set<std::string> lightlyUsedServices(const std::map<std::string, MinionView> &minions,
                                          BootTime now)
{
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> processors; // used, all
    for (const auto &[agent, view] : minions) {
        if (!view.registered || !isFresh(view, now))
            continue;
        auto &[used, all] = processors[view.facts.service];
        used = saturatingSum(used, view.used.milliCores());
        all = saturatingSum(all, view.facts.capacity.milliCores());
    }
    std::set<std::string> services;
    for (const auto &[service, count] : processors) {
        if (count.first < count.second / 2)
            services.insert(service);
    }
    return services;
}

/// The last slot stays for the tasks for which the constraints hold room back. A short job only has
/// to have a run.
int exemptTasks(const StepSpec &step, int slots)
{
    if (step.gang)
        return step.count;
    return step.longRunning ? slots - 1 : 1;
}

void clearHoldBack(JobModel::WaitingStep &waiting)
{
    waiting.heldBackUntil = {};
    waiting.exemptTasks = 0;
}

} // namespace

/// A long-running task is bounded whatever the load, any other only if its job has no run and the
/// service is lightly used: a steady load of short tasks would take the room kept for larger ones.
void CellDispatcher::boundSoftConstraints(BootTime now)
{
    if (m_catalog == nullptr)
        return;
    const std::set<std::string> lightlyUsed = lightlyUsedServices(m_minions, now);
    for (const auto &[key, job] : m_waitingJobs) {
        const JobSpec &spec = job->spec();
        if (!m_catalog->serves(spec.service))
            continue;
        const bool idle = job->activeRuns() == 0 && lightlyUsed.count(spec.service) != 0;
        for (JobModel::WaitingStep &waiting : job->waitingSteps()) {
            if (idle || spec.steps[waiting.step].longRunning)
                boundSoftConstraints(*job, waiting, now);
            else
                clearHoldBack(waiting);
        }
    }
}

void CellDispatcher::boundSoftConstraints(JobModel &job, JobModel::WaitingStep &waiting,
                                          BootTime now)
{
    const StepSpec &step = job.spec().steps[waiting.step];
    const auto &tasks = job.occurrences().at(waiting.occurrence)[waiting.step];
    const int atOnce = step.gang ? step.count : 1;
    const int slots = countSlots(job, waiting, now, std::max(2 * atOnce, waitingTasks(tasks) + 1));
    if (slots < 2 * atOnce) {
        clearHoldBack(waiting);
        return;
    }
    if (waiting.heldBackUntil == BootTime{})
        waiting.heldBackUntil = now + maxHoldBack;
    if (now < waiting.heldBackUntil)
        return;
    const int exempt = exemptTasks(step, slots);
    if (std::exchange(waiting.exemptTasks, exempt) == 0)
        recordEvent("soft constraints lifted", {{"job", job.spec().id},
                                                {"queue", job.spec().queue},
                                                {"step", std::to_string(waiting.step)},
                                                {"demand", step.demand.text()},
                                                {"constraint", softConstraint(job, step, now)},
                                                {"tasks", std::to_string(exempt)}});
    waiting.failedAt = 0;
    m_untriedJobs.emplace(m_waitingKeys.at(job.spec().id), &job);
    m_placementDue = true;
}

int CellDispatcher::countSlots(const JobModel &job, const JobModel::WaitingStep &waiting,
                               BootTime now, int limit) const
{
    const StepSpec &step = job.spec().steps[waiting.step];
    const TaskState task;
    const PlacementRequest request{&job.spec(),          &step,        &task,
                                   &m_closedDataCentres, &m_tailModel, false};
    std::map<std::string, int> sameStep;
    if (step.maxPerMinion > 0)
        sameStep = tasksPerAgent(job.occurrences().at(waiting.occurrence)[waiting.step]);
    int slots = 0;
    for (const auto &[agent, view] : m_minions) {
        int most = limit - slots;
        if (step.maxPerMinion > 0) {
            const auto same = sameStep.find(agent);
            const int taken = same == sameStep.end() ? 0 : same->second;
            most = std::clamp(step.maxPerMinion - taken, 0, most);
        }
        slots += slotsOn(view, request, now, most);
        if (slots >= limit)
            break;
    }
    return slots;
}

std::string CellDispatcher::softConstraint(const JobModel &job, const StepSpec &step,
                                           BootTime now) const
{
    if (step.longRunning && !mayRunLong(step))
        return "room for short tasks";
    const TaskState task;
    const PlacementRequest request{&job.spec(),          &step,        &task,
                                   &m_closedDataCentres, &m_tailModel, job.activeRuns() == 0};
    PlacementObstacle held = PlacementObstacle::Unavailable;
    for (const auto &[agent, view] : m_minions) {
        const PlacementObstacle obstacle = placementObstacle(view, request, now);
        if (obstacle == PlacementObstacle::None)
            return std::string(obstacleName(obstacle));
        if (obstacle == PlacementObstacle::KeptRoom || obstacle == PlacementObstacle::Pace)
            held = obstacle;
    }
    return std::string(obstacleName(held));
}

} // namespace lavenderarch
