// Paces that leave each serving task its headroom, taken first from the fills that do most harm.
#include "lavenderarch/dispatch/pace_controller.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Headroom that serving tasks are to keep: figures are rough, and loads swing within seconds.
constexpr double wantedHeadroom = 1.02;
/// A fill that takes less headroom than this does no harm.
constexpr double harmless = 0.02;
/// In percent: smaller changes of a pace are not worth a call; below the least pace a fill stands
/// still.
constexpr int leastChange = 5;
constexpr int leastPace = 10;
/// All fills stand still once a serving task is over its target for so long: the platform allows
/// 4 s, and a figure lags by half a second.
constexpr Milliseconds stopFillsAfter{1200};

using Runs = std::map<RunKey, RunLedger::LocalRun>;

struct Fill
{
    const RunKey *run = nullptr;
    const RunLedger::LocalRun *local = nullptr;
    double share = 0; ///< of the minion's processors, at full pace
    int pace = 100;
    const RunKey *serving = nullptr; ///< the run that asks for less; null: none does
    double headroom = 0;             ///< its newest figure
};

bool isOverTooLong(const Runs &runs, BootTime now)
{
    return std::any_of(runs.begin(), runs.end(), [&](const auto &entry) {
        const RunLedger::LocalRun &run = entry.second;
        return run.tailTargetMs > 0 && run.listed && run.nearTargetSince != BootTime{} &&
               now - run.nearTargetSince >= stopFillsAfter;
    });
}

std::vector<Fill> fillsOf(const RunLedger &ledger)
{
    std::vector<Fill> fills;
    const auto capacity = static_cast<double>(ledger.facts().capacity.milliCores());
    for (const auto &[run, local] : ledger.runs()) {
        const bool works = local.listed || local.phase == RunLedger::Phase::Confirmed;
        if (local.fills && works && capacity > 0)
            fills.push_back({&run, &local, static_cast<double>(local.milliCores) / capacity});
    }
    return fills;
}

/// Headroom that the serving run may lose to fills. What its newest figure lacks counts against
/// the paces in force, whatever the model says.
double allowedPressure(const RunLedger::LocalRun &serving, const std::vector<Fill> &fills,
                       const TailModel &tailModel)
{
    double inForce = 0;
    for (const Fill &fill : fills)
        inForce += tailModel.weight(fill.local->image, serving.image) * fill.share *
                   fill.local->pacePercent / 100;
    const double byModel = serving.headroom.baseline - wantedHeadroom;
    const double lacking = 1 - serving.headroom.observed;
    return lacking > 0 ? std::min(byModel, inForce - lacking) : byModel;
}

/// Slows the fills that take most from `serving`, until it loses no more than `allowed`.
void slowFills(std::vector<Fill> &fills, const RunKey &run, const RunLedger::LocalRun &serving,
               const TailModel &tailModel)
{
    const double allowed = allowedPressure(serving, fills, tailModel);
    const auto loss = [&](const Fill &fill) {
        return tailModel.weight(fill.local->image, serving.image) * fill.share;
    };
    std::sort(fills.begin(), fills.end(), [&](const Fill &left, const Fill &right) {
        const double leftWeight = tailModel.weight(left.local->image, serving.image);
        const double rightWeight = tailModel.weight(right.local->image, serving.image);
        return leftWeight != rightWeight ? leftWeight > rightWeight : *left.run < *right.run;
    });
    double excess = -allowed;
    for (const Fill &fill : fills)
        excess += loss(fill) * fill.pace / 100;
    for (Fill &fill : fills) {
        if (excess <= 0)
            return;
        if (loss(fill) < harmless)
            continue;
        const double least = std::max(0.0, fill.pace - 100 * excess / loss(fill));
        const int pace = least < leastPace ? 0 : static_cast<int>(least);
        excess -= loss(fill) * (fill.pace - pace) / 100;
        fill.pace = pace;
        fill.serving = &run;
        fill.headroom = serving.headroom.observed;
    }
}

} // namespace

std::vector<PaceChange> decidePaces(const RunLedger &ledger, BootTime now)
{
    std::vector<Fill> fills = fillsOf(ledger);
    const bool tooLong = isOverTooLong(ledger.runs(), now);
    for (const auto &[run, local] : ledger.runs()) {
        if (local.tailTargetMs > 0 && local.listed && local.headroom.known())
            slowFills(fills, run, local, ledger.tailModel());
    }
    std::vector<PaceChange> changes;
    for (const Fill &fill : fills) {
        const int former = fill.local->pacePercent;
        const int pace = tooLong ? 0 : fill.pace;
        const bool end = pace == 0 || pace == 100;
        if (pace != former && (end || std::abs(pace - former) >= leastChange))
            changes.push_back({*fill.run, pace, fill.serving == nullptr ? "" : fill.serving->task,
                               fill.headroom});
    }
    return changes;
}

} // namespace lavenderarch
