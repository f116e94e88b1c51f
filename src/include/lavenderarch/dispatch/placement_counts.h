// Amounts of work that a cell's owner has done to place tasks.
#pragma once

#include <cstdint>

namespace lavenderarch {

/// Value type. Totals since the owner took the cell over.
struct PlacementCounts
{
    std::int64_t passes = 0;   ///< passes over the waiting jobs
    std::int64_t jobs = 0;     ///< jobs considered in these passes
    std::int64_t searches = 0; ///< searches for a minion, each for one task
    std::int64_t minions = 0;  ///< minions examined in these searches
    std::int64_t placed = 0;   ///< tasks placed
    std::int64_t exempt = 0;   ///< tasks placed regardless of soft constraints
    std::int64_t overdue = 0;  ///< tasks placed first because their jobs are overdue

    friend bool operator==(const PlacementCounts &, const PlacementCounts &) = default;
};

} // namespace lavenderarch
