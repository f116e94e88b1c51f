// Simulated worker: runs tasks under leases and rejects stale commands by fencing token.
#pragma once

#include "lavenderarch/storage/command_result.h"
#include "lavenderarch/storage/worker_info.h"
#include "lavenderarch/storage/worker_report.h"
#include "task_run.h"
#include "worker_ground_truth.h"

#include <deque>
#include <map>

namespace lavenderarch {

/// Implements the worker's side of the lease protocol for lavender-standin, the seeded tests and
/// the placement benchmark. It reads no clock: the caller passes the current time. Not thread-safe.
/// `truth` and `runs` must outlive it; each task start appends an entry to `runs`.
class WorkerModel
{
public:
    WorkerModel(WorkerInfo info, const WorkerGroundTruth &truth, std::vector<TaskRun> &runs)
        : m_info(std::move(info))
        , m_truth(truth)
        , m_runs(runs)
    {
    }

    /// Advances all tasks to `now`. A task whose lease has expired stops at its lease deadline.
    void advance(TimePoint now);
    /// Rejects commands whose epoch or incarnation is lower than one already seen for the task.
    CommandResult executeCommand(const WorkerCommand &command, TimePoint now);
    WorkerReport report(TimePoint now) const;
    /// Drops all tasks and all state, as when the VM is replaced.
    void crash(TimePoint now);

    /// While set, advance() ends every task as failed.
    void setFailAll(bool failAll) { m_failAll = failAll; }
    const WorkerInfo &info() const { return m_info; }
    /// Number of starts that exceeded the capacity of the worker.
    int overCapacity() const { return m_overCapacity; }
    /// Slowdown of each running service, for latency measurements.
    std::vector<double> serviceSlowdowns(TimePoint now) const;

private:
    struct RunningTask
    {
        WorkerCommand command;
        TimePoint updatedAt;
        TimePoint loadedAt; // the task makes no progress before this time
        double progress = 0;
        double sizeFactor = 1;
        double timeFactor = 1;
        std::size_t run = 0; // index into m_runs
    };
    using FencingToken = std::pair<std::int64_t, std::int64_t>; // epoch, incarnation

    CommandResult start(const WorkerCommand &command, TimePoint now);
    void end(const TaskId &task, TaskRunState state, double checkpoint, TimePoint at);
    double coreShare(const RunningTask &task) const;
    double slowdown(const RunningTask &task, TimePoint now) const;
    TaskReport makeReport(const RunningTask &task, TimePoint now) const;

    WorkerInfo m_info;
    const WorkerGroundTruth &m_truth;
    std::vector<TaskRun> &m_runs;
    std::map<TaskId, RunningTask> m_running;
    std::map<TaskId, TaskReport> m_ended;
    std::map<TaskId, FencingToken> m_latestTokens;
    bool m_failAll = false;
    int m_overCapacity = 0;
};

} // namespace lavenderarch
