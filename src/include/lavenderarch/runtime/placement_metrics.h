// Counters of the work that placement does.
#pragma once

#include "lavenderarch/dispatch/placement_counts.h"
#include "lavenderarch/telemetry/metrics.h"

namespace lavenderarch {

/// Adds the difference of the two counts to the metrics.
inline void recordPlacement(Metrics &metrics, const PlacementCounts &before,
                            const PlacementCounts &after)
{
    if (after == before)
        return;
    const auto count = [&](const char *name, std::int64_t amount) {
        metrics.increment(name, {}, static_cast<double>(amount));
    };
    count("lavender_placement_passes", after.passes - before.passes);
    count("lavender_placement_jobs", after.jobs - before.jobs);
    count("lavender_placement_searches", after.searches - before.searches);
    count("lavender_placement_minions", after.minions - before.minions);
    count("lavender_placement_placed", after.placed - before.placed);
}

} // namespace lavenderarch
