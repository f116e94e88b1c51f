// The SchedulingPolicy concept: what varies between ways of placing and evicting.
#pragma once

#include "lavenderarch/scheduling/interference_mitigator.h"
#include "lavenderarch/scheduling/ledger_task.h"
#include "lavenderarch/scheduling/worker_view.h"
#include "lavenderarch/storage/task_report.h"

#include <concepts>

namespace lavenderarch {

/// reservation: what to reserve for a task, at most `limit`. selectWorker: index of the worker for
/// a task, or -1. learn: takes in one report of a task that runs on the viewed worker. respond:
/// steps against interference on a worker. `tailWeight` is 1 for tail latency only, 0 for batch
/// throughput only.
template <typename T>
concept SchedulingPolicy = requires(T policy, const LedgerTask &task, const Resources &amount,
                                    const WorkerViews &views, const WorkerView &view,
                                    const TaskReport &report,
                                    const std::vector<MitigationCandidate> &candidates,
                                    double number, TimePoint now)
{
    {
        policy.reservation(task.spec, amount)
        } -> std::same_as<Resources>;
    {
        policy.selectWorker(task, amount, views, number, now)
        } -> std::same_as<int>;
    policy.learn(view, task, report, now);
    policy.learnRunTime(task, now);
    {
        policy.candidate(view, task, report, now)
        } -> std::same_as<MitigationCandidate>;
    {
        policy.respond(view, number, candidates, now)
        } -> std::same_as<std::vector<MitigationAction>>;
};

} // namespace lavenderarch
