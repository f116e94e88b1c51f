// Handling of the runs that agents report: known ones, unexpected ones and missing ones.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "placement.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Pace in percent below which a best-effort run counts as slowed.
constexpr int slowPacePercent = 40;

} // namespace

void CellDispatcher::processRuns(MinionView &view, const ExchangeRequest &request, BootTime now)
{
    const auto unexpectedBefore = std::exchange(view.unexpectedRuns, {});
    for (const RunReport &report : request.runs) {
        if (view.runs.count(report.run) != 0)
            processReport(view, report, now);
        else
            processUnexpected(view, report, now);
    }
    if (view.unexpectedRuns != unexpectedBefore)
        roomGained(view);
    updateTailModel(view, request, now);
    stopMissingRuns(view, request);
    std::erase_if(view.unexpectedStopped, [&](const RunKey &run) {
        return std::none_of(request.runs.begin(), request.runs.end(),
                            [&](const RunReport &report) { return report.run == run; });
    });
}

/// Processes the report of a run that is not in `view.runs`.
void CellDispatcher::processUnexpected(MinionView &view, const RunReport &report, BootTime now)
{
    const auto [job, task] = locate(report.run.task);
    if (job != nullptr && !report.starting)
        begin(*job, now);
    reserveUnexpected(view, report.run);
    if (!view.unexpectedStopped.insert(report.run).second)
        return;
    recordEvent("stopping a run that is not expected on this minion",
                {{"task", report.run.task},
                 {"run", std::to_string(report.run.number)},
                 {"agent", view.agent},
                 {"reserved", view.unexpectedRuns.at(report.run).text()}});
    std::int64_t sequence = 0;
    sendStop(view, report.run, sequence);
}

/// Reserves the demand of the run until it ends; all of the minion if its task is not known.
void CellDispatcher::reserveUnexpected(MinionView &view, const RunKey &run)
{
    const auto [job, task] = locate(run.task);
    view.unexpectedRuns[run] =
        task != nullptr ? reservedDemand(stepOf(*job, run)) : view.facts.capacity;
}

void CellDispatcher::describe(MinionView &view, const RunKey &run)
{
    const auto [job, task] = locate(run.task);
    std::int64_t sequence = 0;
    send(view, makeOrder(OrderKind::Describe, run, stepOf(*job, run)), sequence);
}

/// Processes the report of a run in `view.runs`.
void CellDispatcher::processReport(MinionView &view, const RunReport &report, BootTime now)
{
    const auto [job, task] = locate(report.run.task);
    if (!report.starting)
        begin(*job, now);
    // Stop orders of a previous session were discarded, so the stop is ordered again.
    if (task->phase == TaskPhase::Stopping && task->stopOrder == 0)
        sendStop(view, report.run, task->stopOrder);
    if (report.progressPercent != task->progressPercent || report.pacePercent < 100) {
        task->progressPercent = report.progressPercent;
        task->progressAt = now;
    }
    task->pacePercent = report.pacePercent;
    if (report.pacePercent >= slowPacePercent)
        task->slowedAt = {};
    else if (task->slowedAt == BootTime{})
        task->slowedAt = now;
    if (!report.checkpoint.empty())
        task->checkpoint = report.checkpoint;
    if (report.undescribed)
        describe(view, report.run);
}

void CellDispatcher::stopMissingRuns(MinionView &view, const ExchangeRequest &request)
{
    std::set<RunKey> reported;
    for (const RunReport &report : request.runs)
        reported.insert(report.run);
    for (const RunEnd &end : request.ends)
        reported.insert(end.run);
    for (const RunKey &run : view.runs) {
        const auto [job, task] = locate(run.task);
        if (task == nullptr || reported.count(run) != 0 || task->startOrder < 0 ||
            task->startOrder > request.orderSeen)
            continue;
        const bool stopPending = task->stopOrder > 0;
        if (stopPending)
            continue;
        recordEvent(
            "run is missing from the minion's report; stopping it",
            {{"task", run.task}, {"run", std::to_string(run.number)}, {"agent", view.agent}});
        stop(view, run, *task);
    }
}

} // namespace lavenderarch
