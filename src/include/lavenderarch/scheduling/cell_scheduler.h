// Scheduling decisions for one cell, as a state machine without I/O.
#pragma once

#include "lavenderarch/scheduling/cell_conditions.h"
#include "lavenderarch/scheduling/cell_counters.h"
#include "lavenderarch/scheduling/cell_ledger.h"
#include "lavenderarch/scheduling/cell_plan.h"
#include "lavenderarch/scheduling/fair_order.h"
#include "lavenderarch/scheduling/placed_task_state.h"
#include "lavenderarch/scheduling/scheduling_policy.h"
#include "lavenderarch/scheduling/worker_commands.h"
#include "lavenderarch/scheduling/worker_health.h"
#include "lavenderarch/storage/worker_report.h"

#include <optional>

namespace lavenderarch {

/// Decides which tasks of one cell to place, stop, requeue and end. Has no clock, thread or store
/// of its own; the owner of the cell drives it:
///
///     scheduler.noteReport(report, now);              // from workers
///     CellPlan plan = scheduler.plan(conditions, now);
///     // commit plan.changes with the owner's epoch, then:
///     scheduler.applyCommitted(plan, now);
///     for (const WorkerCommands &c : scheduler.commands(conditions, now)) // send
///
/// Commands are derived from the committed ledger and the reports, so that a lost command is sent
/// again and a failed commit leads to no command. Not thread-safe.
template <SchedulingPolicy Policy>
class CellScheduler
{
public:
    /// Starts from the ledger of a former owner. No lease that former owners granted ends after
    /// `grantedUntil`.
    void resume(CellLedger ledger, TimePoint grantedUntil);

    /// Processes a worker's report. Late and duplicate reports and reports of unknown workers
    /// are ignored.
    void noteReport(const WorkerReport &report, TimePoint now);
    /// Cancels all tasks of `job` that this cell holds.
    void noteCancel(const JobKey &job) { m_cancelled.insert(job); }

    /// The changes to commit next. Leaves the ledger unchanged.
    CellPlan plan(const CellConditions &conditions, TimePoint now);
    /// Applies a plan that was committed to the ledger.
    void applyCommitted(const CellPlan &plan, TimePoint now);
    /// The commands to send now, grouped by worker; workers without commands are left out.
    std::vector<WorkerCommands> commands(const CellConditions &conditions, TimePoint now);

    const CellLedger &ledger() const { return m_ledger; }
    CellLedger &ledger() { return m_ledger; }
    const CellCounters &counters() const { return m_counters; }
    const Policy &policy() const { return m_policy; }

private:
    struct WorkerState
    {
        TimePoint measuredAt;   ///< measurement time of the newest report
        TimePoint grantedUntil; ///< no lease granted on this worker ends later
        /// Tasks that run on the worker without a matching placement in the ledger; they are
        /// stopped.
        std::vector<TaskReport> unexpectedTasks;
    };
    using Views = std::vector<WorkerView>;

    bool isPlacedAs(const TaskReport &report, const WorkerId &worker) const;
    void noteTask(const WorkerId &worker, const LedgerTask &task, const TaskReport &report,
                  TimePoint now);
    void noteEnd(const LedgerTask &task, const TaskReport &report, TimePoint now);
    void noteAbsent(const WorkerId &worker, const WorkerReport &report, TimePoint now);
    void requeueExpired(TimePoint now);
    LedgerChange requeue(const LedgerTask &task, double progress, TimePoint now) const;

    void planCancellations(CellPlan &plan, TimePoint now);
    void planPlacements(CellPlan &plan, const CellConditions &conditions, TimePoint now);
    void planTransfers(CellPlan &plan, const CellConditions &conditions, TimePoint now);
    void planEvacuation(const CellConditions &conditions);
    std::size_t placementLimit(const CellConditions &conditions, TimePoint now) const;
    std::optional<LedgerChange> placeTask(const LedgerTask &task, Views &views,
                                          const CellConditions &conditions, TimePoint now);
    void respondToInterference(const WorkerId &worker, TimePoint now);

    WorkerView viewOf(const LedgerWorker &worker) const;
    static void addToView(WorkerView &view, const LedgerTask &task, double share);
    /// For each resource the largest capacity of any worker.
    Resources maxWorkerCapacity() const;
    WorkerCommand makeCommand(WorkerCommandKind kind, const LedgerTask &task,
                              const CellConditions &conditions, TimePoint lease) const;
    void appendCommands(const LedgerTask &task, PlacedTaskState &state,
                        const CellConditions &conditions, TimePoint now,
                        std::vector<WorkerCommand> &commands);

    CellLedger m_ledger;
    Policy m_policy;
    WorkerHealth m_health;
    CellCounters m_counters;
    std::map<WorkerId, WorkerState> m_workers;
    std::map<TaskId, PlacedTaskState> m_placedTasks;
    std::map<TaskId, LedgerChange> m_pending; // decided but not committed; at most one per task
    std::set<JobKey> m_cancelled;
    // The worker that is reserved for a starving task: no other task is placed on it.
    std::optional<std::pair<TaskId, WorkerId>> m_reservedWorker;
};

} // namespace lavenderarch

#include "lavenderarch/scheduling/cell_reports_impl.h"
#include "lavenderarch/scheduling/cell_scheduler_impl.h"
