// Which minion a task goes to.
#pragma once

#include "lavenderarch/dispatch/job_spec.h"
#include "lavenderarch/dispatch/minion_view.h"
#include "lavenderarch/dispatch/tail_model.h"
#include "lavenderarch/dispatch/task_state.h"

#include <optional>

namespace lavenderarch {

/// A minion that has not been heard of for this long gets no new run. Agents poll every second.
inline constexpr Milliseconds maxReportAge{1800};

/// Time for which a minion is avoided on the first suspicion.
inline constexpr std::int64_t initialAvoidMs = 3000;

/// What a step needs that does not depend on the minion.
struct PlacementRequest
{
    const JobSpec *job = nullptr;
    const StepSpec *step = nullptr;
    const TaskState *task = nullptr;
    /// Tasks of the step and occurrence that a minion already has, by agent.
    const std::map<std::string, int> *sameStep = nullptr;
    const std::set<std::string> *closedDataCentres = nullptr;
    const TailModel *tailModel = nullptr;
    /// The job has no run: one task may start anywhere, however slow, so that the job moves.
    bool idleJob = false;
};

/// What `step` takes of a minion's capacity: filling tasks use only processors left over.
Resources reservedDemand(const StepSpec &step);

/// True when the minion was heard of lately enough for a new run.
inline bool isFresh(const MinionView &view, BootTime now)
{
    return now - view.lastHeard <= maxReportAge;
}

/// An order that tells the agent what the run is, with all that follows from its step.
RunOrder makeOrder(OrderKind kind, const RunKey &run, const StepSpec &step);

/// Share of its full pace, 0 to 1, that a task which fills would keep on the minion with all
/// serving tasks there under their targets.
double expectedPace(const MinionView &view, const StepSpec &step, const TailModel &tailModel);

/// Weights of the images that fill or serve on the minion.
std::vector<TailWeight> tailWeights(const MinionView &view, const TailModel &tailModel);

/// Higher is better; nothing when the minion may not be given the task now.
std::optional<double> placementScore(const MinionView &view, const PlacementRequest &request,
                                     BootTime now);

} // namespace lavenderarch
