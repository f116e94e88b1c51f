// Placement of waiting tasks.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "lavenderarch/dispatch/queue_catalog.h"
#include "placement.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Maximum number of tasks placed in one pass, which bounds the CPU time spent before a commit.
constexpr int maxPlacementsPerPass = 120;
/// After this many jobs without a suitable minion, a pass considers only jobs that have no active
/// run.
constexpr int maxUnplacedJobs = 24;
/// Minimum time between two log lines about the work of placement.
constexpr Milliseconds reportInterval{1000};
/// Value of TaskState::startOrder while the start waits for its commit.
constexpr std::int64_t unreleased = -1;

std::map<std::string, int> tasksPerAgent(const std::vector<TaskState> &tasks)
{
    std::map<std::string, int> counts;
    for (const TaskState &task : tasks) {
        if (task.active())
            ++counts[task.agent];
    }
    return counts;
}

} // namespace

void CellDispatcher::attach(MinionView &view, const StepSpec &step, const RunKey &run)
{
    if (!view.runs.insert(run).second)
        return;
    view.used = view.used + reservedDemand(step);
    if (step.tailTargetMs > 0)
        view.serving[run].image = step.image;
    if (step.bestEffort)
        view.bestEffort[run] = {step.image, step.demand.milliCores()};
    view.weightsDue = true;
}

void CellDispatcher::detach(MinionView &view, const StepSpec &step, const RunKey &run)
{
    if (view.runs.erase(run) == 0)
        return;
    view.used = view.used - reservedDemand(step);
    view.serving.erase(run);
    view.bestEffort.erase(run);
}

/// Orders by priority, then by least remaining work. Under overload this lets the most jobs meet
/// their objectives, and a job's value grows more slowly than its work.
std::vector<JobModel *> CellDispatcher::placementOrder()
{
    std::vector<JobModel *> order;
    for (const auto &[priority, accepted, id] : m_unfinishedJobs) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end() && m_catalog->serves(found->second.spec().service))
            order.push_back(&found->second);
    }
    std::stable_sort(order.begin(), order.end(), [](const JobModel *left, const JobModel *right) {
        return std::pair(left->spec().priority, left->remainingWork()) <
               std::pair(right->spec().priority, right->remainingWork());
    });
    return order;
}

void CellDispatcher::placeWaiting(BootTime now)
{
    if (m_catalog == nullptr)
        return;
    ++m_placementCounts.passes;
    int budget = maxPlacementsPerPass;
    int unplaced = 0;
    for (JobModel *job : placementOrder()) {
        // A job without an active run is always considered, so that large jobs are not starved; see
        // PlacementRequest.
        if (unplaced >= maxUnplacedJobs && job->activeRuns() > 0)
            continue;
        ++m_placementCounts.jobs;
        bool hasUnplaced = false;
        const int placed = placeJob(*job, now, budget, hasUnplaced);
        if (placed > 0)
            markDirty(*job);
        budget -= placed;
        unplaced += hasUnplaced && placed == 0 ? 1 : 0;
        if (budget <= 0) {
            m_placementDue = true;
            return;
        }
    }
    m_placementDue = false;
}

/// Returns the number of placed tasks. Sets `hasUnplaced` if a ready step got no minion.
int CellDispatcher::placeJob(JobModel &job, BootTime now, int budget, bool &hasUnplaced)
{
    int placed = 0;
    for (auto &[number, occurrence] : job.occurrences()) {
        for (std::size_t step = 0; step < occurrence.size(); ++step) {
            if (!job.isReady(occurrence, step))
                continue;
            const int count = placeStep(job, number, step, now, budget - placed);
            hasUnplaced = hasUnplaced || count < 0;
            placed += std::max(count, 0);
        }
    }
    return placed;
}

/// Returns the number of placed tasks, or -1 if tasks are waiting and none got a minion.
int CellDispatcher::placeStep(JobModel &job, int occurrence, std::size_t step, BootTime now,
                              int budget)
{
    if (job.spec().steps[step].gang)
        return placeGang(job, occurrence, step, now);
    int placed = 0;
    auto &tasks = job.occurrences().at(occurrence)[step];
    for (std::size_t index = 0; index < tasks.size() && placed < budget; ++index) {
        if (tasks[index].phase != TaskPhase::Waiting)
            continue;
        const bool idle = job.activeRuns() == 0 && placed == 0;
        MinionView *view = selectMinion(job, occurrence, step, tasks[index], now, idle);
        if (view == nullptr)
            return placed > 0 ? placed : -1;
        place(job, job.name(occurrence, static_cast<int>(step), static_cast<int>(index)), *view,
              now);
        ++placed;
    }
    return placed;
}

/// Places all members of the gang or none. Returns like placeStep().
int CellDispatcher::placeGang(JobModel &job, int occurrence, std::size_t step, BootTime now)
{
    auto &tasks = job.occurrences().at(occurrence)[step];
    int run = 0;
    int waiting = 0;
    std::string checkpoint;
    for (const TaskState &task : tasks) {
        if (task.active())
            return 0; // all members of the previous run have to end first
        waiting += task.phase == TaskPhase::Waiting ? 1 : 0;
        run = std::max(run, task.run);
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    if (waiting == 0)
        return 0;
    std::vector<std::pair<TaskName, MinionView *>> members;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        MinionView *view = selectMinion(job, occurrence, step, tasks[index], now);
        const TaskName name = job.name(occurrence, static_cast<int>(step), static_cast<int>(index));
        if (view == nullptr)
            break;
        tasks[index].run = run;
        tasks[index].checkpoint = checkpoint;
        attach(*view, job.spec().steps[step], {name.text(), run + 1});
        tasks[index].phase = TaskPhase::Placed;
        tasks[index].agent = view->agent;
        members.emplace_back(name, view);
    }
    const bool complete = members.size() == tasks.size();
    for (const auto &[name, view] : members) {
        TaskState &task = tasks[static_cast<std::size_t>(name.index)];
        task.phase = TaskPhase::Waiting;
        task.agent.clear();
        detach(*view, job.spec().steps[step], {name.text(), run + 1});
        if (complete)
            place(job, name, *view, now);
    }
    return complete ? static_cast<int>(members.size()) : -1;
}

MinionView *CellDispatcher::selectMinion(const JobModel &job, int occurrence, std::size_t step,
                                         const TaskState &task, BootTime now, bool idleJob)
{
    const auto sameStep = tasksPerAgent(job.occurrences().at(occurrence)[step]);
    const PlacementRequest request{&job.spec(), &job.spec().steps[step], &task,
                                   &sameStep,   &m_closedDataCentres,    &m_tailModel,
                                   idleJob};
    MinionView *best = nullptr;
    double bestScore = 0;
    ++m_placementCounts.searches;
    m_placementCounts.minions += static_cast<std::int64_t>(m_minions.size());
    for (auto &[agent, view] : m_minions) {
        const auto score = placementScore(view, request, now);
        if (score && (best == nullptr || *score > bestScore)) {
            best = &view;
            bestScore = *score;
        }
    }
    return best;
}

void CellDispatcher::place(JobModel &job, const TaskName &name, MinionView &view, BootTime now)
{
    TaskState &task = *job.find(name);
    const StepSpec &step = job.step(name);
    task.phase = TaskPhase::Placed;
    ++task.run;
    task.agent = view.agent;
    task.incarnation = view.facts.incarnation;
    task.startOrder = unreleased;
    task.stopOrder = 0;
    task.progressPercent = 0;
    task.placedAt = now;
    task.progressAt = now;
    task.pacePercent = 100;
    task.slowedAt = {};
    RunOrder order = makeOrder(OrderKind::Start, {name.text(), task.run}, step);
    order.payload = job.spec().payload;
    order.checkpoint = task.checkpoint;
    attach(view, step, order.run);
    ++m_placementCounts.placed;
    recordEvent("run placed", {{"task", order.run.task},
                               {"run", std::to_string(task.run)},
                               {"agent", view.agent},
                               {"minion", task.incarnation.id},
                               {"heardMsAgo", std::to_string((now - view.lastHeard).count())},
                               {"inboxAgeMs", std::to_string((now - m_inboxTime).count())},
                               {"catalogVersion", std::to_string(m_catalog->version)}});
    m_staged[job.spec().id].orders.emplace_back(view.agent, std::move(order));
}

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
                                     {"unfinishedJobs", lengths}});
}

} // namespace lavenderarch
