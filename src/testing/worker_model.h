// A played worker: tasks under leases, commands with fencing, lagged reports. No clock inside.
#pragma once

#include "lavenderarch/storage/command_result.h"
#include "lavenderarch/storage/worker_info.h"
#include "lavenderarch/storage/worker_report.h"
#include "task_run.h"
#include "worker_truth.h"

#include <deque>
#include <map>

namespace lavenderarch {

/// Follows the worker's side of the lease protocol to the letter. Used by the stand-in, by seeded
/// tests and by the benchmark's load model. Not thread-safe; `runs` outlives it.
class WorkerModel
{
public:
    WorkerModel(WorkerInfo info, const WorkerTruth &truth, std::vector<TaskRun> &runs)
        : m_info(std::move(info))
        , m_truth(truth)
        , m_runs(runs)
    {
    }

    /// Moves the tasks forward to `now`; lapsed leases stop their tasks at the lease deadline.
    void advance(TimePoint now);
    CommandResult take(const WorkerCommand &command, TimePoint now);
    WorkerReport report(TimePoint now) const;
    /// Loses every task and all memory, as when the VM is replaced.
    void crash(TimePoint now);

    void setFailAll(bool failAll) { m_failAll = failAll; }
    const WorkerInfo &info() const { return m_info; }
    int overCapacity() const { return m_overCapacity; }
    /// Slowdown of each running service, for latency measurements.
    std::vector<double> serviceSlowdowns(TimePoint now) const;

private:
    struct RunningTask
    {
        WorkerCommand command;
        TimePoint updatedAt;
        TimePoint loadedAt; // no progress before
        double progress = 0;
        double sizeFactor = 1;
        double timeFactor = 1;
        std::size_t run = 0;
    };
    using Order = std::pair<std::int64_t, std::int64_t>; // epoch, incarnation

    CommandResult start(const WorkerCommand &command, TimePoint now);
    void end(const TaskId &task, TaskRunState state, double checkpoint, TimePoint at);
    double coreShare(const RunningTask &task) const;
    double slowdown(const RunningTask &task, TimePoint now) const;
    TaskReport describe(const RunningTask &task, TimePoint now) const;

    WorkerInfo m_info;
    const WorkerTruth &m_truth;
    std::vector<TaskRun> &m_runs;
    std::map<TaskId, RunningTask> m_running;
    std::map<TaskId, TaskReport> m_ended;
    std::map<TaskId, Order> m_seen;
    bool m_failAll = false;
    int m_overCapacity = 0; // starts beyond the capacity
};

} // namespace lavenderarch
