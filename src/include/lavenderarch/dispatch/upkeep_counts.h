// Amounts of work that a cell's owner has done for jobs apart from their placement.
#pragma once

#include <cstdint>

namespace lavenderarch {

/// Value type. Totals since the owner took the cell over.
struct UpkeepCounts
{
    std::int64_t expiryChecks = 0;     ///< settled jobs examined for their expiry
    std::int64_t occurrenceChecks = 0; ///< jobs examined for due occurrences
    std::int64_t stallChecks = 0;      ///< runs examined for a stall
    std::int64_t slowChecks = 0;       ///< best-effort runs examined for a move

    friend bool operator==(const UpkeepCounts &, const UpkeepCounts &) = default;
};

} // namespace lavenderarch
