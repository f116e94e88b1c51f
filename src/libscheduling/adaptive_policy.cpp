// Placement by learned resource usage and learned interference.
#include "lavenderarch/scheduling/adaptive_policy.h"

#include <algorithm>
#include <limits>

namespace lavenderarch {
namespace {

/// Share of a worker's processors that batch tasks leave free when services run there.
constexpr double serviceHeadroom = 0.15;
/// Cost of each replica of the same job that already runs on the worker; spreads the replicas.
constexpr double replicaPenalty = 0.5;
/// Weight of the capacity left free: batch tasks prefer full workers, services prefer empty ones.
constexpr double packingWeight = 0.05;

/// Key under which sizes and run times are learned: tasks of one customer and work class.
std::string taskKindOf(const TaskSpec &spec)
{
    return spec.customer.text() + "/" + spec.workClass;
}

double shareOf(const Resources &amount, const WorkerView &view)
{
    const double capacity = static_cast<double>(view.worker->info.capacity.milliCores());
    return capacity > 0 ? static_cast<double>(amount.milliCores()) / capacity : 1;
}

/// The loads on the worker without the share that the task itself contributes.
std::vector<ClassLoad> neighboursOf(const WorkerView &view, const std::string &workClass,
                                    double ownShare)
{
    std::vector<ClassLoad> neighbours = view.loads;
    for (ClassLoad &load : neighbours) {
        if (load.workClass == workClass)
            load.share = std::max(0.0, load.share - ownShare);
    }
    return neighbours;
}

/// Whether the worker keeps the headroom of its services. Services and urgent tasks may use it.
bool leavesHeadroom(const LedgerTask &task, const Resources &reserved, const WorkerView &view)
{
    if (task.spec.service || task.spec.urgent || view.services.empty())
        return true;
    const double capacity = static_cast<double>(view.worker->info.capacity.milliCores());
    const double free = static_cast<double>(view.free().milliCores() - reserved.milliCores());
    return free >= serviceHeadroom * capacity;
}

} // namespace

Resources AdaptivePolicy::reservation(const TaskSpec &spec, const Resources &limit) const
{
    return m_sizes.reservation(taskKindOf(spec), spec.resources, limit);
}

double AdaptivePolicy::cost(const LedgerTask &task, const Resources &reserved,
                            const WorkerView &view, double tailWeight, TimePoint now) const
{
    const ClassLoad own{task.spec.workClass, shareOf(reserved, view)};
    const double load = view.load + own.share;
    double harmToServices = 0;
    for (const std::string &service : view.services)
        harmToServices =
            std::max(harmToServices, m_interference.addedSlowdown(service, own, load, now));
    const double ownSlowdown = m_interference.predict(own.workClass, view.loads, now) - 1;
    const double ownWeight = task.spec.service ? tailWeight : 1 - tailWeight;
    const auto replicas = view.replicas.find(task.spec.job);
    const double replicaCost =
        replicas == view.replicas.end() ? 0 : replicaPenalty * replicas->second;
    const double freeShare = shareOf(view.free() - reserved, view);
    return tailWeight * harmToServices + ownWeight * ownSlowdown + replicaCost +
           (task.spec.service ? -1 : 1) * packingWeight * freeShare;
}

int AdaptivePolicy::selectWorker(const LedgerTask &task, const Resources &reserved,
                                 const WorkerViews &views, double tailWeight, TimePoint now) const
{
    int best = -1;
    double lowestCost = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < views.size(); ++index) {
        const WorkerView &view = *views[index];
        if (!reserved.fitsInto(view.free()) || !leavesHeadroom(task, reserved, view))
            continue;
        const double workerCost = cost(task, reserved, view, tailWeight, now);
        if (workerCost < lowestCost) {
            lowestCost = workerCost;
            best = static_cast<int>(index);
        }
    }
    return best;
}

void AdaptivePolicy::learn(const WorkerView &view, const LedgerTask &task, const TaskReport &report,
                           TimePoint now)
{
    m_sizes.observeUsage(taskKindOf(task.spec), task.spec.resources, report.usage);
    const double ownShare = shareOf(report.usage, view);
    m_interference.observe(task.spec.workClass, neighboursOf(view, task.spec.workClass, ownShare),
                           report.slowdown, now);
}

void AdaptivePolicy::learnRunTime(const LedgerTask &task, TimePoint endedAt)
{
    const double remaining = 1 - task.progress;
    if (task.spec.durationMs <= 0 || remaining <= 0)
        return;
    const auto actual = static_cast<double>((endedAt - task.placedAt).count()) / remaining;
    m_sizes.observeRunTime(taskKindOf(task.spec), task.spec.durationMs,
                           static_cast<std::int64_t>(actual));
}

MitigationCandidate AdaptivePolicy::candidate(const WorkerView &view, const LedgerTask &task,
                                              const TaskReport &report, TimePoint now) const
{
    const ClassLoad own{task.spec.workClass, shareOf(report.usage, view)};
    double harm = 0;
    for (const std::string &service : view.services)
        harm = std::max(harm, m_interference.addedSlowdown(service, own, view.load, now));
    const double saved = task.spec.checkpointable ? report.progress : task.progress;
    const double unsaved = std::max(0.0, report.progress - saved);
    const auto runTime =
        static_cast<double>(m_sizes.runTimeMs(taskKindOf(task.spec), task.spec.durationMs));
    return {task.id, harm, unsaved * runTime, 1};
}

std::vector<MitigationAction>
AdaptivePolicy::respond(const WorkerView &view, double worstSlowdown,
                        const std::vector<MitigationCandidate> &candidates, TimePoint now)
{
    return m_mitigator.evaluate(view.worker->info.id, worstSlowdown, candidates, now);
}

} // namespace lavenderarch
