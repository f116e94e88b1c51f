// Prepares a commit of a cell and records what that takes.
#pragma once

#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/telemetry/metrics.h"

namespace lavenderarch {

/// CellDispatcher::prepareCommit(), with metrics of its time and of the work of its placement.
inline std::optional<CellCommit> prepareMeasuredCommit(CellDispatcher &dispatcher, BootTime now,
                                                       bool mayPlace, Metrics &metrics)
{
    const PlacementCounts before = dispatcher.placementCounts();
    const auto started = std::chrono::steady_clock::now();
    auto commit = dispatcher.prepareCommit(now, mayPlace);
    const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - started;
    metrics.observeSeconds("lavender_prepare_commit_seconds", seconds.count());
    const PlacementCounts &after = dispatcher.placementCounts();
    if (after == before)
        return commit;
    const auto count = [&](const char *name, std::int64_t amount) {
        metrics.increment(name, {}, static_cast<double>(amount));
    };
    count("lavender_placement_passes", after.passes - before.passes);
    count("lavender_placement_jobs", after.jobs - before.jobs);
    count("lavender_placement_searches", after.searches - before.searches);
    count("lavender_placement_minions", after.minions - before.minions);
    count("lavender_placement_placed", after.placed - before.placed);
    count("lavender_placement_exempt", after.exempt - before.exempt);
    return commit;
}

} // namespace lavenderarch
