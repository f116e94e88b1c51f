// Computes the paces of best-effort runs that keep each serving task within its tail target.
#include "lavenderarch/dispatch/pace_controller.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Headroom that serving tasks keep: slightly above 1, because the measured latencies are rough and
/// loads vary within seconds.
constexpr double requiredHeadroom = 1.02;
/// A run that takes less headroom than this is not slowed.
constexpr double negligibleLoss = 0.02;
/// In percent. Smaller changes of a pace are not worth a call to the minion, and a run below the
/// minimum pace is paused.
constexpr int minPaceChange = 5;
constexpr int minPacePercent = 10;
/// All best-effort runs are paused once a serving task has been near or over its target for this
/// long. The platform allows 4 s over the target, and measurements lag by half a second.
constexpr Milliseconds pauseAfter{1200};

using Runs = std::map<RunKey, RunLedger::LocalRun>;

/// A best-effort run with the pace computed so far.
struct PacedRun
{
    const RunKey *run = nullptr;
    const RunLedger::LocalRun *local = nullptr;
    double share = 0; ///< share of the minion's processors at full pace
    int pace = 100;
    const RunKey *serving = nullptr; ///< the run for which the pace is lowered; null: none
    double headroom = 0;             ///< newest measurement of that run
};

bool isOverTargetTooLong(const Runs &runs, BootTime now)
{
    return std::any_of(runs.begin(), runs.end(), [&](const auto &entry) {
        const RunLedger::LocalRun &run = entry.second;
        return run.tailTargetMs > 0 && run.listed && run.nearTargetSince != BootTime{} &&
               now - run.nearTargetSince >= pauseAfter;
    });
}

std::vector<PacedRun> pacedRunsOf(const RunLedger &ledger)
{
    std::vector<PacedRun> pacedRuns;
    const auto capacity = static_cast<double>(ledger.facts().capacity.milliCores());
    for (const auto &[run, local] : ledger.runs()) {
        const bool active = local.listed || local.phase == RunLedger::Phase::Confirmed;
        if (local.bestEffort && active && capacity > 0)
            pacedRuns.push_back({&run, &local, static_cast<double>(local.milliCores) / capacity});
    }
    return pacedRuns;
}

/// Headroom that the serving run may lose to best-effort runs. A measured headroom below 1 reduces
/// what the current paces take, even if the model predicts enough headroom.
double allowedLoss(const RunLedger::LocalRun &serving, const std::vector<PacedRun> &pacedRuns,
                   const TailModel &tailModel)
{
    double currentLoss = 0;
    for (const PacedRun &paced : pacedRuns)
        currentLoss += tailModel.weight(paced.local->image, serving.image) * paced.share *
                       paced.local->pacePercent / 100;
    const double byModel = serving.headroom.baseline - requiredHeadroom;
    const double deficit = 1 - serving.headroom.observed;
    return deficit > 0 ? std::min(byModel, currentLoss - deficit) : byModel;
}

/// Slows the runs with the largest weight on `serving` first, until its predicted loss is allowed.
void slowPacedRuns(std::vector<PacedRun> &pacedRuns, const RunKey &run,
                   const RunLedger::LocalRun &serving, const TailModel &tailModel)
{
    const double allowed = allowedLoss(serving, pacedRuns, tailModel);
    const auto loss = [&](const PacedRun &paced) {
        return tailModel.weight(paced.local->image, serving.image) * paced.share;
    };
    std::sort(pacedRuns.begin(), pacedRuns.end(), [&](const PacedRun &left, const PacedRun &right) {
        const double leftWeight = tailModel.weight(left.local->image, serving.image);
        const double rightWeight = tailModel.weight(right.local->image, serving.image);
        return leftWeight != rightWeight ? leftWeight > rightWeight : *left.run < *right.run;
    });
    double excess = -allowed;
    for (const PacedRun &paced : pacedRuns)
        excess += loss(paced) * paced.pace / 100;
    for (PacedRun &paced : pacedRuns) {
        if (excess <= 0)
            return;
        if (loss(paced) < negligibleLoss)
            continue;
        const double reduced = std::max(0.0, paced.pace - 100 * excess / loss(paced));
        const int pace = reduced < minPacePercent ? 0 : static_cast<int>(reduced);
        excess -= loss(paced) * (paced.pace - pace) / 100;
        paced.pace = pace;
        paced.serving = &run;
        paced.headroom = serving.headroom.observed;
    }
}

} // namespace

std::vector<PaceChange> decidePaces(const RunLedger &ledger, BootTime now)
{
    std::vector<PacedRun> pacedRuns = pacedRunsOf(ledger);
    const bool pauseAll = isOverTargetTooLong(ledger.runs(), now);
    for (const auto &[run, local] : ledger.runs()) {
        if (local.tailTargetMs > 0 && local.listed && local.headroom.known())
            slowPacedRuns(pacedRuns, run, local, ledger.tailModel());
    }
    std::vector<PaceChange> changes;
    for (const PacedRun &paced : pacedRuns) {
        const int currentPace = paced.local->pacePercent;
        const int pace = pauseAll ? 0 : paced.pace;
        const bool end = pace == 0 || pace == 100;
        if (pace != currentPace && (end || std::abs(pace - currentPace) >= minPaceChange))
            changes.push_back({*paced.run, pace,
                               paced.serving == nullptr ? "" : paced.serving->task,
                               paced.headroom});
    }
    return changes;
}

} // namespace lavenderarch
