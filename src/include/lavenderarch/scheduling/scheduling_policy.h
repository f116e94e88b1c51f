// Concept of a scheduling policy: placement and the response to interference.
#pragma once

#include "lavenderarch/scheduling/interference_mitigator.h"
#include "lavenderarch/scheduling/ledger_task.h"
#include "lavenderarch/scheduling/worker_view.h"
#include "lavenderarch/storage/task_report.h"

#include <concepts>

namespace lavenderarch {

/// Requirements on a policy:
/// - reservation: the resources to reserve for a task, at most `limit`.
/// - selectWorker: index of the worker on which to place a task, or -1 if none is suitable.
///   `tailWeight` is 1 to optimise only tail latency, 0 to optimise only batch throughput.
/// - learn: learns from one report of a task that runs on the viewed worker.
/// - learnRunTime: learns from a task that has finished.
/// - candidate: a batch task on the viewed worker, with the estimates that respond needs.
/// - respond: the actions against interference on a worker, for one new report.
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
