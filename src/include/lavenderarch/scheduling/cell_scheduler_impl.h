// Implementation of CellScheduler: plans and commands; included by cell_scheduler.h only.
#pragma once

#include "lavenderarch/scheduling/cell_scheduler.h"
#include "lavenderarch/scheduling/scheduling_times.h"

#include <algorithm>

namespace lavenderarch {

inline constexpr std::size_t maxPlacementsPerRound = 64;
inline constexpr std::size_t maxTransfersPerRound = 64;
/// Tasks that may be stopping at a time while a data centre is evacuated.
inline constexpr std::size_t maxConcurrentEvacuations = 4;
/// Queue time after which a worker is reserved for a task that fits nowhere.
inline constexpr Milliseconds starvationTime{30'000};
/// Queue time after which a task is transferred to another cell.
inline constexpr Milliseconds transferDelay{10'000};
/// Time over which the placements per round rise to the maximum after a data centre has returned.
inline constexpr Milliseconds rampTime{10'000};
inline constexpr std::size_t initialPlacementsPerRound = 2;

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::resume(CellLedger ledger, TimePoint grantedUntil)
{
    m_ledger = std::move(ledger);
    m_placedTasks.clear();
    m_pending.clear();
    m_workers.clear();
    m_reservedWorker.reset();
    for (const auto &[id, worker] : m_ledger.workers())
        m_workers[id].grantedUntil = grantedUntil;
    for (const auto &[id, task] : m_ledger.tasks()) {
        if (task.phase == TaskPhase::Placed)
            m_placedTasks[id].incarnation = task.incarnation;
    }
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::planCancellations(CellPlan &plan, TimePoint now)
{
    if (m_cancelled.empty())
        return;
    for (const auto &[id, task] : m_ledger.tasks()) {
        if (m_cancelled.count(task.spec.job) == 0)
            continue;
        if (task.phase == TaskPhase::Placed) {
            m_placedTasks[id].stop = StopReason::Cancelled;
            continue;
        }
        LedgerChange change = requeue(task, 0, now);
        change.kind = ChangeKind::TaskCancelled;
        change.reason = "cancelled by the customer";
        plan.changes.push_back(change);
    }
}

template <SchedulingPolicy Policy>
CellPlan CellScheduler<Policy>::plan(const CellConditions &conditions, TimePoint now)
{
    requeueExpired(now);
    CellPlan plan;
    for (const auto &[task, change] : m_pending)
        plan.changes.push_back(change);
    planCancellations(plan, now);
    if (conditions.dataCentreOut)
        planEvacuation(conditions);
    else
        planPlacements(plan, conditions, now);
    planTransfers(plan, conditions, now);
    return plan;
}

template <SchedulingPolicy Policy>
std::size_t CellScheduler<Policy>::placementLimit(const CellConditions &conditions,
                                                  TimePoint now) const
{
    if (conditions.inServiceSince == TimePoint() || now >= conditions.inServiceSince + rampTime)
        return maxPlacementsPerRound;
    const auto age = static_cast<std::size_t>(
        std::max<std::int64_t>(0, (now - conditions.inServiceSince).count()));
    return initialPlacementsPerRound +
           maxPlacementsPerRound * age / static_cast<std::size_t>(rampTime.count());
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::planPlacements(CellPlan &plan, const CellConditions &conditions,
                                           TimePoint now)
{
    if (m_ledger.queued().empty())
        return;
    Views views;
    for (const auto &[id, worker] : m_ledger.workers()) {
        const bool blocked = m_health.isQuarantined(id, now) ||
                             (m_health.isOnProbation(id) && !worker.tasks.empty());
        if (!blocked)
            views.push_back(viewOf(worker));
    }
    const std::size_t limit = placementLimit(conditions, now);
    std::size_t placed = 0;
    for (const LedgerTask *task :
         fairOrder(m_ledger, *conditions.manifest, conditions.cells, 4 * limit)) {
        if (m_cancelled.count(task->spec.job) != 0)
            continue;
        if (auto change = placeTask(*task, views, conditions, now)) {
            plan.changes.push_back(*std::move(change));
            plan.hasPlacements = true;
            if (++placed == limit)
                break;
        }
    }
}

template <SchedulingPolicy Policy>
std::optional<LedgerChange> CellScheduler<Policy>::placeTask(const LedgerTask &task, Views &views,
                                                             const CellConditions &conditions,
                                                             TimePoint now)
{
    if (views.empty())
        return std::nullopt;
    const Resources reserved = m_policy.reservation(task.spec, maxWorkerCapacity());
    WorkerViews allowed;
    allowed.reserve(views.size());
    for (const WorkerView &view : views) {
        const WorkerInfo &info = view.worker->info;
        const bool failedThere =
            std::find(task.failedOn.begin(), task.failedOn.end(), info.id) != task.failedOn.end();
        const bool reservedForOther = m_reservedWorker && m_reservedWorker->second == info.id &&
                                      m_reservedWorker->first != task.id;
        const bool hasOtherWorkers = task.failedOn.size() < m_ledger.workers().size();
        if ((!failedThere || !hasOtherWorkers) && !reservedForOther &&
            allowsDataCentre(task.spec, info.dataCentre))
            allowed.push_back(&view);
    }
    const double tailWeight = conditions.manifest->tailWeight();
    const int chosen = m_policy.selectWorker(task, reserved, allowed, tailWeight, now);
    if (chosen < 0) {
        const bool starving = now - task.queuedAt > starvationTime;
        if (starving && !m_reservedWorker && !allowed.empty()) {
            const auto mostFree = std::max_element(
                allowed.begin(), allowed.end(), [](const WorkerView *a, const WorkerView *b) {
                    return a->worker->free().milliCores() < b->worker->free().milliCores();
                });
            m_reservedWorker = {task.id, (*mostFree)->worker->info.id};
        }
        return std::nullopt;
    }
    const WorkerId worker = allowed[static_cast<std::size_t>(chosen)]->worker->info.id;
    LedgerChange change;
    change.kind = ChangeKind::TaskPlaced;
    change.task = task.id;
    change.incarnation = task.incarnation + 1;
    change.worker = worker;
    change.reserved = reserved;
    change.startBy = now + startWindow;
    change.at = now;
    for (WorkerView &view : views) {
        if (view.worker->info.id != worker)
            continue;
        view.pending = view.pending + reserved;
        const double capacity = static_cast<double>(view.worker->info.capacity.milliCores());
        addToView(view, task, static_cast<double>(reserved.milliCores()) / capacity);
    }
    return change;
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::planTransfers(CellPlan &plan, const CellConditions &conditions,
                                          TimePoint now)
{
    if (!conditions.canTransfer)
        return;
    std::set<TaskId> decided;
    for (const LedgerChange &change : plan.changes)
        decided.insert(change.task);
    for (const TaskId &id : m_ledger.queued()) {
        const LedgerTask &task = *m_ledger.findTask(id);
        const bool waitedLong = now - task.queuedAt > transferDelay;
        if (decided.count(id) != 0 || (!conditions.dataCentreOut && !waitedLong))
            continue;
        LedgerChange change = requeue(task, 0, now);
        change.kind = ChangeKind::TaskMoved;
        plan.changes.push_back(change);
        LedgerTask moved = task;
        moved.queuedAt = conditions.dataCentreOut ? task.queuedAt : now;
        plan.transfers.push_back(moved);
        if (plan.transfers.size() >= maxTransfersPerRound)
            break;
    }
}

/// Stops services first, then batch tasks in ascending order of the progress that they would lose.
template <SchedulingPolicy Policy>
void CellScheduler<Policy>::planEvacuation(const CellConditions &conditions)
{
    if (!conditions.canTransfer)
        return;
    std::vector<std::pair<double, TaskId>> order;
    std::size_t stopping = 0;
    for (const auto &[id, state] : m_placedTasks) {
        const LedgerTask &task = *m_ledger.findTask(id);
        if (state.stop != StopReason::None) {
            ++stopping;
            continue;
        }
        const double unsaved = task.spec.checkpointable ? 0 : state.report.progress;
        order.emplace_back(task.spec.service ? -1 : unsaved, id);
    }
    std::sort(order.begin(), order.end());
    for (const auto &[cost, id] : order) {
        if (stopping++ >= maxConcurrentEvacuations)
            break;
        m_placedTasks[id].stop = StopReason::Evacuated;
        ++m_counters.evacuated;
    }
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::applyCommitted(const CellPlan &plan, TimePoint now)
{
    for (const LedgerChange &change : plan.changes) {
        m_ledger.apply(change);
        m_pending.erase(change.task);
        const bool placed = change.kind == ChangeKind::TaskPlaced;
        if (placed) {
            m_placedTasks[change.task] = PlacedTaskState();
            m_placedTasks[change.task].incarnation = change.incarnation;
            ++m_counters.placed;
        } else if (!change.task.empty()) {
            m_placedTasks.erase(change.task);
        }
        if (m_reservedWorker && m_reservedWorker->first == change.task)
            m_reservedWorker.reset();
        m_counters.done += change.kind == ChangeKind::TaskDone ? 1 : 0;
        m_counters.requeued += change.kind == ChangeKind::TaskRequeued ? 1 : 0;
    }
    for (const auto &[id, worker] : m_ledger.workers())
        m_workers.try_emplace(id, WorkerState{TimePoint(), now, {}});
    for (auto it = m_cancelled.begin(); it != m_cancelled.end();) {
        const auto job = m_ledger.jobs().find(*it);
        const bool ended = job == m_ledger.jobs().end() || job->second.unfinished() == 0;
        it = ended ? m_cancelled.erase(it) : std::next(it);
    }
}

template <SchedulingPolicy Policy>
WorkerCommand CellScheduler<Policy>::makeCommand(WorkerCommandKind kind, const LedgerTask &task,
                                                 const CellConditions &conditions,
                                                 TimePoint lease) const
{
    WorkerCommand command;
    command.kind = kind;
    command.task = task.id;
    command.incarnation = task.incarnation;
    command.epoch = conditions.epoch;
    command.startBy = task.startBy;
    command.leaseDeadline = lease;
    command.resources = task.reserved;
    command.declared = task.spec.resources;
    command.workClass = task.spec.workClass;
    command.durationMs = task.spec.service ? 0 : task.spec.durationMs;
    command.progress = task.progress;
    command.latencyCritical = task.spec.service;
    return command;
}

template <SchedulingPolicy Policy>
void CellScheduler<Policy>::appendCommands(const LedgerTask &task, PlacedTaskState &state,
                                           const CellConditions &conditions, TimePoint now,
                                           std::vector<WorkerCommand> &commands)
{
    const TimePoint lease = std::min(now + workerLease, conditions.horizon);
    if (state.stop != StopReason::None) {
        const bool saveProgress = task.spec.checkpointable && state.stop != StopReason::Cancelled;
        const auto kind = saveProgress ? WorkerCommandKind::Checkpoint : WorkerCommandKind::Stop;
        commands.push_back(makeCommand(kind, task, conditions, lease));
        return;
    }
    if (!state.confirmed && now <= task.startBy)
        commands.push_back(makeCommand(WorkerCommandKind::Start, task, conditions, lease));
    if (state.confirmed && now >= state.renewedAt + renewInterval) {
        state.renewedAt = now;
        commands.push_back(makeCommand(WorkerCommandKind::Renew, task, conditions, lease));
    }
    if (state.throttle != state.sentThrottle) {
        state.sentThrottle = state.throttle;
        commands.push_back(makeCommand(WorkerCommandKind::Throttle, task, conditions, lease));
        commands.back().throttle = state.throttle;
    }
}

template <SchedulingPolicy Policy>
std::vector<WorkerCommands> CellScheduler<Policy>::commands(const CellConditions &conditions,
                                                            TimePoint now)
{
    std::vector<WorkerCommands> all;
    for (const auto &[id, worker] : m_ledger.workers()) {
        WorkerCommands batch{id, {}};
        for (const TaskId &task : worker.tasks) {
            if (m_pending.count(task) == 0)
                appendCommands(*m_ledger.findTask(task), m_placedTasks[task], conditions, now,
                               batch.commands);
        }
        for (const TaskReport &unexpected : m_workers[id].unexpectedTasks) {
            WorkerCommand stop;
            stop.kind = WorkerCommandKind::Stop;
            stop.task = unexpected.task;
            stop.incarnation = unexpected.incarnation;
            stop.epoch = conditions.epoch;
            batch.commands.push_back(stop);
        }
        TimePoint &granted = m_workers[id].grantedUntil;
        for (const WorkerCommand &command : batch.commands) {
            const bool grants = command.kind == WorkerCommandKind::Start ||
                                command.kind == WorkerCommandKind::Renew;
            if (grants)
                granted = std::max(granted, command.leaseDeadline);
        }
        if (!batch.commands.empty())
            all.push_back(std::move(batch));
    }
    return all;
}

} // namespace lavenderarch
