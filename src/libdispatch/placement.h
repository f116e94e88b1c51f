// Scores minions for the placement of a task.
#pragma once

#include "lavenderarch/dispatch/job_spec.h"
#include "lavenderarch/dispatch/minion_view.h"
#include "lavenderarch/dispatch/tail_model.h"
#include "lavenderarch/dispatch/task_state.h"

#include <optional>
#include <string_view>

namespace lavenderarch {

/// Age of the last report beyond which a minion gets no new run. Agents report every second.
inline constexpr Milliseconds maxReportAge{1800};

/// Time for which placement avoids a minion that is suspected for the first time.
inline constexpr std::int64_t initialAvoidMs = 3000;

/// Inputs of a placement decision that are the same for all minions. Does not own its pointees.
struct PlacementRequest
{
    const JobSpec *job = nullptr;
    const StepSpec *step = nullptr;
    const TaskState *task = nullptr;
    const std::set<std::string> *closedDataCentres = nullptr;
    const TailModel *tailModel = nullptr;
    /// The job has no active run. One best-effort task may start at any expected pace, even on a
    /// minion where a serving task is over its target, so that the job makes progress.
    bool idleJob = false;
    /// Soft constraints apply: room kept for other jobs, and the least pace of best-effort tasks.
    bool softConstraints = true;
};

/// Why a task must not run on a minion now.
enum class PlacementObstacle {
    None,
    Unavailable, ///< the minion is silent, draining or about to report runs that are not known
    Excluded,    ///< another service, an evacuated data centre or a missing label
    Processors,
    Memory,
    Accelerators,
    KeptRoom, ///< the task fits only into room that is kept for another job
    Pace,     ///< a best-effort task would be too slow, or slow serving tasks down too much
};

/// Name of the obstacle in log lines.
std::string_view obstacleName(PlacementObstacle obstacle);

/// Does not check maxPerMinion.
PlacementObstacle placementObstacle(const MinionView &view, const PlacementRequest &request,
                                    BootTime now);

/// True when the minion may run the task once all tasks there have ended but the long-running ones.
bool fitsBesideLongRunning(const MinionView &view, const PlacementRequest &request, BootTime now);

/// Number of tasks of the step that the minion has room for, at most `limit`. Checks neither
/// maxPerMinion nor soft constraints.
int slotsOn(const MinionView &view, const PlacementRequest &request, BootTime now, int limit);

/// Resources that a task of `step` reserves on a minion. Best-effort tasks reserve no processors,
/// because they use only those that other tasks leave idle.
Resources reservedDemand(const StepSpec &step);

/// True when the last report of the minion is recent enough for a new run.
inline bool isFresh(const MinionView &view, BootTime now)
{
    return now - view.lastHeard <= maxReportAge;
}

/// Order for `run` with the fields that describe its step. The caller adds payload, checkpoint and
/// sequence.
RunOrder makeOrder(OrderKind kind, const RunKey &run, const StepSpec &step);

/// Share of its full pace, 0 to 1, at which a best-effort task could run on the minion while all
/// serving tasks there stay within their tail targets.
double expectedPace(const MinionView &view, const StepSpec &step, const TailModel &tailModel);

/// Weights of all pairs of a best-effort and a serving image on the minion.
std::vector<TailWeight> tailWeights(const MinionView &view, const TailModel &tailModel);

/// Updates what follows from the best-effort and serving runs of `view`: fullPaceShares,
/// bestEffortMilliCores and the headroom that is free. Called when one of them, a headroom or the
/// capacity has changed, since many searches use the result.
void updateBestEffort(MinionView &view, const TailModel &tailModel);

/// Score of the minion for the task, higher is better; nullopt when it must not run the task now.
/// Does not check maxPerMinion.
std::optional<double> placementScore(const MinionView &view, const PlacementRequest &request,
                                     BootTime now);

/// True when the minion, which was chosen for another task of the same step, suits the task of
/// `request` without a comparison with other minions: it may run the task, all best-effort tasks
/// there are expected to keep their full pace, and no constraint or recent failure speaks against
/// several tasks of the step there.
bool suitsGroup(const MinionView &view, const PlacementRequest &request, BootTime now);

} // namespace lavenderarch
