// Additive increase, multiplicative decrease of the pace of filling tasks.
#include "lavenderarch/dispatch/pace_controller.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Shares of the tail target: above the first fills slow down, below the second they speed up.
constexpr double slowDownAbove = 1.0;
constexpr double speedUpBelow = 0.8;
/// Far above the target fills slow down faster.
constexpr double farAbove = 1.5;
/// Steps of the pace, in percent; below the least step a fill stands still.
constexpr int speedUpStep = 20;
constexpr int leastPace = 10;
/// All fills stand still once a serving task is over its target for so long: the platform allows
/// 4 s, and a figure lags by half a second.
constexpr Milliseconds stopFillsAfter{1200};
/// Only fills at least this close to the most harmful one that still works are slowed.
constexpr double suspectShare = 0.7;

double worstTailShare(const std::map<RunKey, RunLedger::LocalRun> &runs)
{
    double worst = 0;
    for (const auto &[run, local] : runs) {
        if (local.tailTargetMs > 0 && local.listed)
            worst = std::max(worst, local.load / static_cast<double>(local.tailTargetMs));
    }
    return worst;
}

bool isOverTooLong(const std::map<RunKey, RunLedger::LocalRun> &runs, BootTime now)
{
    return std::any_of(runs.begin(), runs.end(), [&](const auto &entry) {
        const RunLedger::LocalRun &run = entry.second;
        return run.tailTargetMs > 0 && run.listed && run.overSince != BootTime{} &&
               now - run.overSince >= stopFillsAfter;
    });
}

/// Of the filling tasks that still work.
int worstActiveHarm(const std::map<RunKey, RunLedger::LocalRun> &runs)
{
    int worst = 0;
    for (const auto &[run, local] : runs) {
        if (local.fills && local.listed && local.pacePercent > 0)
            worst = std::max(worst, local.harmPercent);
    }
    return worst;
}

int nextPace(int pace, double tailShare)
{
    if (tailShare > slowDownAbove) {
        const int slower = tailShare > farAbove ? pace / 4 : pace / 2;
        return slower < leastPace ? 0 : slower;
    }
    return tailShare < speedUpBelow ? std::min(100, pace + speedUpStep) : pace;
}

} // namespace

std::vector<PaceChange> decidePaces(const std::map<RunKey, RunLedger::LocalRun> &runs, BootTime now)
{
    const bool tooLong = isOverTooLong(runs, now);
    const double tailShare = worstTailShare(runs);
    const double suspect = suspectShare * worstActiveHarm(runs);
    std::vector<PaceChange> changes;
    for (const auto &[run, local] : runs) {
        if (!local.fills || !local.listed)
            continue;
        if (!tooLong && tailShare > slowDownAbove && local.harmPercent < suspect)
            continue;
        const int pace = tooLong ? 0 : nextPace(local.pacePercent, tailShare);
        if (pace != local.pacePercent)
            changes.push_back({run, pace});
    }
    return changes;
}

} // namespace lavenderarch
