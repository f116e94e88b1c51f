// Counts of a cell's events since its owner took over, for metrics and benchmarks.
#pragma once

#include <cstdint>

namespace lavenderarch {

struct CellCounters
{
    std::int64_t placed = 0;
    std::int64_t done = 0;
    std::int64_t evictions = 0; ///< tasks stopped to reduce interference
    std::int64_t evacuated = 0; ///< tasks stopped because the data centre is out of service
    std::int64_t requeued = 0;  ///< placements whose task returned to the queue
    std::int64_t throttles = 0;

    friend bool operator==(const CellCounters &, const CellCounters &) = default;
};

} // namespace lavenderarch
