// The ledger of one cell: its placed and queued tasks, its workers and the progress of its jobs.
#pragma once

#include "lavenderarch/scheduling/job_progress.h"
#include "lavenderarch/scheduling/ledger_change.h"
#include "lavenderarch/scheduling/ledger_worker.h"

#include <map>
#include <set>

namespace lavenderarch {

/// Deterministic state machine: the same committed changes in the same order give the same ledger.
/// apply() asserts the invariants: no worker is reserved beyond its capacity, no task is placed
/// twice at the same time, no task is placed after its end. Not thread-safe.
class CellLedger
{
public:
    /// Applies one committed change; aborts the process if it violates an invariant.
    void apply(const LedgerChange &change);
    void apply(const std::vector<LedgerChange> &changes);

    const std::map<TaskId, LedgerTask> &tasks() const { return m_tasks; }
    const std::map<WorkerId, LedgerWorker> &workers() const { return m_workers; }
    const std::map<JobKey, JobProgress> &jobs() const { return m_jobs; }
    const std::set<TaskId> &queued() const { return m_queued; }

    const LedgerTask *findTask(const TaskId &id) const;
    /// Number of placed tasks of `customer`.
    int runningTaskCount(const CustomerName &customer) const;
    std::size_t placedCount() const { return m_tasks.size() - m_queued.size(); }
    /// Complete state, for snapshots.
    Json snapshot() const;
    /// Ledger from the result of snapshot(); fails with ErrorKind::Internal if it is malformed.
    static StatusOr<CellLedger> restore(const Json &snapshot);

    friend bool operator==(const CellLedger &, const CellLedger &) = default;

private:
    void addTask(const LedgerTask &task);
    void place(const LedgerChange &change);
    void requeue(const LedgerChange &change);
    void end(const LedgerChange &change);
    void reportJob(const JobKey &job);
    void changeWorkers(const std::vector<WorkerInfo> &workers);
    void release(LedgerTask &task);
    LedgerTask &task(const TaskId &id);

    std::map<TaskId, LedgerTask> m_tasks;
    std::map<WorkerId, LedgerWorker> m_workers;
    std::map<JobKey, JobProgress> m_jobs;
    std::set<TaskId> m_queued; // ids of the tasks in phase Queued
    std::map<CustomerName, int> m_running;
};

} // namespace lavenderarch
