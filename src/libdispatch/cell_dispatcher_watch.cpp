// Monitoring of active runs: updates the tail model, stops stalled runs, and stops slowed
// best-effort runs so that they can be placed on a better minion.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "placement.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// A run without progress for this long counts as stalled. Agents report every second.
constexpr Milliseconds stallTimeout{3000};
constexpr Milliseconds bestEffortStallTimeout{6000};
/// Minimum time between two observations of a minion. Its tail latencies cover half a second each.
constexpr Milliseconds tailInterval{450};
/// Smoothing factor of the average headroom, per observation. Loads vary over about ten seconds.
constexpr double headroomSmoothing = 0.08;
/// A best-effort run is stopped for another placement after it has been slowed for
/// slowedMoveDelay, if it saves checkpoints or has at most maxDiscardedProgress percent done, and
/// if another minion would run it at minPaceAfterMove of its full pace or better. Each task is
/// moved at most maxMoves times.
constexpr Milliseconds slowedMoveDelay{1200};
constexpr double minPaceAfterMove = 0.7;
constexpr int maxMoves = 3;
constexpr int maxDiscardedProgress = 15;

/// Share of the minion's processors that each best-effort image uses according to `request`.
BestEffortShares sharesInUse(const MinionView &view, const ExchangeRequest &request)
{
    BestEffortShares shares;
    const auto capacity = static_cast<double>(view.facts.capacity.milliCores());
    for (const RunReport &report : request.runs) {
        const auto bestEffort = view.bestEffort.find(report.run);
        if (bestEffort != view.bestEffort.end() && capacity > 0)
            shares[bestEffort->second.image] += report.load / capacity;
    }
    return shares;
}

} // namespace

void CellDispatcher::updateTailModel(MinionView &view, const ExchangeRequest &request, BootTime now)
{
    const bool observationDue = now >= view.nextObservation && !view.serving.empty();
    const BestEffortShares shares =
        observationDue ? sharesInUse(view, request) : BestEffortShares{};
    const bool exceededBefore = std::exchange(view.tailTargetExceeded, false);
    for (const RunReport &report : request.runs) {
        const auto serving = view.serving.find(report.run);
        const auto [job, task] = locate(report.run.task);
        if (serving == view.serving.end() || task == nullptr || report.progressPercent < 100 ||
            report.load <= 0)
            continue;
        const auto target = static_cast<double>(stepOf(*job, report.run).tailTargetMs);
        ServingRun &run = serving->second;
        view.tailTargetExceeded = view.tailTargetExceeded || report.load > target;
        if (!observationDue)
            continue;
        m_tailModel.observe(run.image, run.headroom, shares, target / report.load, now);
        if (!run.headroom.known())
            continue;
        run.averageHeadroom =
            run.averageHeadroom > 0
                ? run.averageHeadroom +
                      headroomSmoothing * (run.headroom.baseline - run.averageHeadroom)
                : run.headroom.baseline;
    }
    if (observationDue || (exceededBefore && !view.tailTargetExceeded))
        view.headroomGained = true;
    if (!observationDue)
        return;
    view.nextObservation = now + tailInterval;
    view.weightsDue = true;
}

void CellDispatcher::moveSlowedRuns(MinionView &view, BootTime now)
{
    if (now < view.nextSlowCheck)
        return;
    // No run that becomes slow from now on is to be moved before that.
    view.nextSlowCheck = now + slowedMoveDelay;
    for (const auto &[run, bestEffort] : view.bestEffort) {
        ++m_upkeepCounts.slowChecks;
        const auto [job, task] = locate(run.task);
        if (task == nullptr || task->phase != TaskPhase::Placed || task->startOrder < 0 ||
            task->slowedAt == BootTime{} || task->moves >= maxMoves)
            continue;
        const BootTime moveAt = task->slowedAt + slowedMoveDelay;
        view.nextSlowCheck = std::min(view.nextSlowCheck, moveAt);
        if (now < moveAt)
            continue;
        const auto &step = stepOf(*job, run);
        if (!step.checkpointing && task->progressPercent > maxDiscardedProgress)
            continue;
        if (!hasBetterMinion(*job, *TaskName::parse(run.task), *task, now))
            continue;
        recordEvent("best-effort run is slowed; stopping it to place it on a better minion",
                    {{"task", run.task},
                     {"agent", view.agent},
                     {"pace", std::to_string(task->pacePercent)},
                     {"percent", std::to_string(task->progressPercent)}});
        ++task->moves;
        task->failedAgent = view.agent;
        stop(view, run, *task);
    }
}

bool CellDispatcher::hasBetterMinion(const JobModel &job, const TaskName &name,
                                     const TaskState &task, BootTime now)
{
    const MinionView *view =
        selectMinion(job, {name.occurrence, static_cast<std::size_t>(name.step)}, task, now);
    return view != nullptr && view->agent != task.agent &&
           expectedPace(*view, job.step(name), m_tailModel) >= minPaceAfterMove;
}

void CellDispatcher::stopStalledRuns(MinionView &view, BootTime now)
{
    if (now < view.nextStallCheck)
        return;
    // No run that starts or progresses from now on counts as stalled before that.
    view.nextStallCheck = now + stallTimeout;
    for (const RunKey &run : view.runs) {
        ++m_upkeepCounts.stallChecks;
        const auto [job, task] = locate(run.task);
        if (task == nullptr || task->phase != TaskPhase::Placed || task->startOrder < 0)
            continue;
        const auto &step = stepOf(*job, run);
        const auto limit = step.bestEffort ? bestEffortStallTimeout : stallTimeout;
        if (step.longRunning || step.gang)
            continue;
        const BootTime stalledAt = task->progressAt + limit;
        if (now < stalledAt) {
            view.nextStallCheck = std::min(view.nextStallCheck, stalledAt);
            continue;
        }
        recordEvent("run is stalled; stopping it",
                    {{"task", run.task},
                     {"run", std::to_string(run.number)},
                     {"agent", view.agent},
                     {"percent", std::to_string(task->progressPercent)},
                     {"stillMs", std::to_string((now - task->progressAt).count())}});
        task->failedAgent = view.agent;
        view.avoidUntil = std::max(view.avoidUntil, now + Milliseconds(initialAvoidMs));
        stop(view, run, *task);
    }
}

} // namespace lavenderarch
