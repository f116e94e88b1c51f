// Implementation of CellScheduler: processing of worker reports; included by cell_scheduler.h only.
#pragma once

#include "lavenderarch/scheduling/cell_scheduler.h"

#include <algorithm>

namespace lavenderarch {

/// A task ends as failed when this many of its incarnations failed.
inline constexpr std::size_t maxTaskFailures = 3;

template <SchedulingPolicy Policy>
bool CellScheduler<Policy>::isPlacedAs(const TaskReport &report, const WorkerId &worker) const
{
    const LedgerTask *task = m_ledger.findTask(report.task);
    return task != nullptr && task->phase == TaskPhase::Placed && task->worker == worker &&
           task->incarnation == report.incarnation;
}

template <SchedulingPolicy Policy>
LedgerChange CellScheduler<Policy>::requeue(const LedgerTask &task, double progress,
                                            TimePoint now) const
{
    LedgerChange change;
    change.kind = ChangeKind::TaskRequeued;
    change.task = task.id;
    change.incarnation = task.incarnation;
    change.progress = std::max(task.progress, progress);
    change.at = now;
    return change;
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::noteReport(const WorkerReport &report, TimePoint now)
{
    const auto known = m_ledger.workers().find(report.worker);
    WorkerState &state = m_workers[report.worker];
    if (known == m_ledger.workers().end() || report.measuredAt <= state.measuredAt)
        return; // an unknown worker, or an outdated or duplicate report
    state.measuredAt = report.measuredAt;
    state.unexpectedTasks.clear();
    for (const TaskReport &task : report.tasks) {
        if (isPlacedAs(task, report.worker))
            noteTask(report.worker, *m_ledger.findTask(task.task), task, now);
        else if (task.state == TaskRunState::Running)
            state.unexpectedTasks.push_back(task);
    }
    noteAbsent(report.worker, report, now);
    respondToInterference(report.worker, now);
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::noteTask(const WorkerId &worker, const LedgerTask &task,
                                     const TaskReport &report, TimePoint now)
{
    PlacedTaskState &state = m_placedTasks[task.id];
    state.incarnation = task.incarnation;
    state.report = report;
    if (report.state != TaskRunState::Running) {
        noteEnd(task, report, now);
        return;
    }
    state.confirmed = true;
    m_policy.learn(viewOf(m_ledger.workers().at(worker)), task, report, now);
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::noteEnd(const LedgerTask &task, const TaskReport &report, TimePoint now)
{
    LedgerChange change = requeue(task, report.checkpoint, now);
    const bool failed = report.state == TaskRunState::Failed;
    if (report.state == TaskRunState::Done) {
        change.kind = ChangeKind::TaskDone;
        m_health.noteSuccess(task.worker);
        m_policy.learnRunTime(task, now);
    } else if (m_cancelled.count(task.spec.job) != 0) {
        change.kind = ChangeKind::TaskCancelled;
    } else if (failed && task.failedOn.size() + 1 >= maxTaskFailures) {
        change.kind = ChangeKind::TaskFailed;
        change.reason = "failed on " + std::to_string(maxTaskFailures) + " workers";
    }
    if (failed && m_pending.count(task.id) == 0)
        m_health.noteFailure(task.worker, task.spec.job, now);
    change.failedHere = failed;
    m_pending[task.id] = change;
}

/// Requeues tasks placed on the worker that a report measured after their start-by time does not
/// list: they do not run there, and the worker refuses to start them from then on.
template <SchedulingPolicy Policy>
void CellScheduler<Policy>::noteAbsent(const WorkerId &worker, const WorkerReport &report,
                                       TimePoint now)
{
    std::set<TaskId> listed;
    for (const TaskReport &task : report.tasks) {
        if (isPlacedAs(task, worker))
            listed.insert(task.task);
    }
    for (const TaskId &id : m_ledger.workers().at(worker).tasks) {
        const LedgerTask &task = *m_ledger.findTask(id);
        if (listed.count(id) == 0 && report.measuredAt > task.startBy + maxClockSkew)
            m_pending.try_emplace(id, requeue(task, 0, now));
    }
}

/// Requeues the tasks of an unresponsive worker once every lease granted there has expired.
template <SchedulingPolicy Policy>
void CellScheduler<Policy>::requeueExpired(TimePoint now)
{
    for (const auto &[id, worker] : m_ledger.workers()) {
        const WorkerState &state = m_workers[id];
        if (worker.tasks.empty() || state.grantedUntil + maxClockSkew >= now)
            continue;
        for (const TaskId &task : worker.tasks)
            m_pending.try_emplace(task, requeue(*m_ledger.findTask(task), 0, now));
    }
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::respondToInterference(const WorkerId &id, TimePoint now)
{
    const LedgerWorker &worker = m_ledger.workers().at(id);
    const WorkerView view = viewOf(worker);
    double worst = 1;
    std::vector<MitigationCandidate> candidates;
    for (const TaskId &taskId : worker.tasks) {
        const LedgerTask &task = *m_ledger.findTask(taskId);
        const PlacedTaskState &state = m_placedTasks[taskId];
        if (!state.confirmed || state.stop != StopReason::None)
            continue;
        if (task.spec.service) {
            worst = std::max(worst, state.report.slowdown);
            continue;
        }
        MitigationCandidate candidate = m_policy.candidate(view, task, state.report, now);
        candidate.throttle = state.throttle;
        candidates.push_back(candidate);
    }
    for (const MitigationAction &action : m_policy.respond(view, worst, candidates, now)) {
        PlacedTaskState &state = m_placedTasks[action.task];
        if (action.kind == MitigationAction::Kind::Evict) {
            state.stop = StopReason::Evicted;
            ++m_counters.evictions;
        } else {
            state.throttle = action.throttle;
            ++m_counters.throttles;
        }
    }
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::addToView(WorkerView &view, const LedgerTask &task, double share)
{
    view.load += share;
    const auto known =
        std::find_if(view.loads.begin(), view.loads.end(),
                     [&](const ClassLoad &load) { return load.workClass == task.spec.workClass; });
    if (known != view.loads.end())
        known->share += share;
    else
        view.loads.push_back({task.spec.workClass, share});
    if (!task.spec.service)
        return;
    view.services.push_back(task.spec.workClass);
    ++view.replicas[task.spec.job];
}

template <SchedulingPolicy Policy>
WorkerView CellScheduler<Policy>::viewOf(const LedgerWorker &worker) const
{
    WorkerView view;
    view.worker = &worker;
    const double capacity = static_cast<double>(worker.info.capacity.milliCores());
    for (const TaskId &id : worker.tasks) {
        const LedgerTask &task = *m_ledger.findTask(id);
        const auto state = m_placedTasks.find(id);
        const bool measured = state != m_placedTasks.end() && state->second.confirmed;
        const Resources used = measured ? state->second.report.usage : task.reserved;
        addToView(view, task, static_cast<double>(used.milliCores()) / capacity);
    }
    return view;
}

template <SchedulingPolicy Policy>
Resources CellScheduler<Policy>::maxWorkerCapacity() const
{
    Resources largest;
    for (const auto &[id, worker] : m_ledger.workers())
        largest = maximum(largest, worker.info.capacity);
    return largest;
}

} // namespace lavenderarch
