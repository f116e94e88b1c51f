// Changes of the incarnation of a minion.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "lapse_time.h"

namespace lavenderarch {

void CellDispatcher::assumeStrayLease(MinionView &view, BootTime now) const
{
    view.strayLeaseUntil = now + lapseTime(m_limits.longestLeaseMs);
}

void CellDispatcher::noteAnswered(MinionView &view, const ExchangeRequest &request, BootTime now)
{
    // Until its first answer the incarnation carries out calls that were meant for a former one.
    if ((request.reachable || request.listed) && !std::exchange(view.incarnationAnswered, true))
        assumeStrayLease(view, now);
}

bool CellDispatcher::updateFacts(MinionView &view, const ExchangeRequest &request, BootTime now)
{
    if (request.facts.incarnation.bornMs < view.facts.incarnation.bornMs)
        return false;
    const bool firstFacts = view.facts.incarnation.id.empty();
    if (!firstFacts && view.facts.incarnation != request.facts.incarnation) {
        view.outbox.clear();
        view.ends.clear();
        view.endsSeen = 0;
        view.unexpectedRuns.clear();
        view.unexpectedStopped.clear();
        view.failedJobs.clear();
        view.avoidUntil = {};
        view.avoidMs = 0;
        view.noRoomUntil = {};
    }
    if (view.facts.incarnation != request.facts.incarnation) {
        view.incarnationAnswered = false;
        assumeStrayLease(view, now);
    }
    const bool changed = !view.registered || view.facts != request.facts;
    if (view.facts.draining != request.facts.draining)
        recordEvent("minion drain state changed",
                    {{"agent", view.agent},
                     {"minion", request.facts.incarnation.id},
                     {"draining", request.facts.draining ? "yes" : "no"}});
    view.facts = request.facts;
    view.registered = true;
    if (changed)
        roomGained(view);
    resolvePreviousIncarnation(view, now);
    return true;
}

void CellDispatcher::resolvePreviousIncarnation(MinionView &view, BootTime now)
{
    const auto runs = view.runs;
    for (const RunKey &run : runs) {
        const auto [job, task] = locate(run.task);
        if (task == nullptr || task->incarnation == view.facts.incarnation)
            continue;
        if (task->incarnation.id != view.facts.incarnation.id) {
            finishRun(*job, *task, {0, run, RunOutcome::Lapsed, "", "former life"}, now);
            continue;
        }
        // Start orders address the minion by its id only, so one that was never answered may have
        // reached the new incarnation. A stop ends the run there and makes the minion reject that
        // run number from then on.
        recordEvent("minion restarted; stopping the run on its new incarnation",
                    {{"task", run.task},
                     {"run", std::to_string(run.number)},
                     {"agent", view.agent},
                     {"minion", view.facts.incarnation.id},
                     {"bornMs", std::to_string(view.facts.incarnation.bornMs)},
                     {"formerBornMs", std::to_string(task->incarnation.bornMs)}});
        task->incarnation = view.facts.incarnation;
        stop(view, run, *task);
        markDirty(*job);
    }
}

} // namespace lavenderarch
