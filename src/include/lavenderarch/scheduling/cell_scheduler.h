// The decisions of a cell's owner: what to place, stop, resume and end. Pure state machine.
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

/// Drives one cell. No clock, no thread, no store inside:
///
///     scheduler.noteReport(report, now);              // from workers
///     CellPlan plan = scheduler.plan(conditions, now);
///     // commit plan.changes with the owner's epoch, then:
///     scheduler.applyCommitted(plan, now);
///     for (const WorkerCommands &c : scheduler.commands(conditions, now)) // send
///
/// Commands are derived from the committed ledger and the reports, so a lost command is sent again
/// and a lost commit leads to no command. Not thread-safe.
template <SchedulingPolicy Policy>
class CellScheduler
{
public:
    /// Takes over a ledger. `grantedUntil`: no lease granted before goes beyond this time.
    void resume(CellLedger ledger, TimePoint grantedUntil);

    void noteReport(const WorkerReport &report, TimePoint now);
    /// Cancels all tasks of `job` that this cell holds.
    void noteCancel(const JobKey &job) { m_cancelled.insert(job); }

    CellPlan plan(const CellConditions &conditions, TimePoint now);
    void applyCommitted(const CellPlan &plan, TimePoint now);
    std::vector<WorkerCommands> commands(const CellConditions &conditions, TimePoint now);

    const CellLedger &ledger() const { return m_ledger; }
    CellLedger &ledger() { return m_ledger; }
    const CellCounters &counters() const { return m_counters; }
    const Policy &policy() const { return m_policy; }

private:
    struct WorkerState
    {
        TimePoint measuredAt;   ///< newest report
        TimePoint grantedUntil; ///< no lease granted on this worker goes beyond
        std::vector<TaskReport>
            unexpectedTasks; ///< running there, but not placed there by the ledger
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
    Resources largestWorker() const;
    WorkerCommand makeCommand(WorkerCommandKind kind, const LedgerTask &task,
                              const CellConditions &conditions, TimePoint lease) const;
    void appendCommands(const LedgerTask &task, PlacedTaskState &watch,
                        const CellConditions &conditions, TimePoint now,
                        std::vector<WorkerCommand> &commands);

    CellLedger m_ledger;
    Policy m_policy;
    WorkerHealth m_health;
    CellCounters m_counters;
    std::map<WorkerId, WorkerState> m_workers;
    std::map<TaskId, PlacedTaskState> m_placedTasks; // of placed tasks
    std::map<TaskId, LedgerChange> m_pending; // decided, not committed yet; at most one a task
    std::set<JobKey> m_cancelled;
    std::optional<std::pair<TaskId, WorkerId>>
        m_reservedWorker; // kept free for a task that starves
};

} // namespace lavenderarch

#include "lavenderarch/scheduling/cell_reports_impl.h"
#include "lavenderarch/scheduling/cell_scheduler_impl.h"
