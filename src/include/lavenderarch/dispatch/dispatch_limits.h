// Limits of the dispatch package that a deployment configures.
#pragma once

#include "lavenderarch/core/json.h"
#include "lavenderarch/core/time.h"

namespace lavenderarch {

/// Durations that a deployment specifies or that follow from its specification. Set once at start.
struct DispatchLimits
{
    std::int64_t leaseMs = 5000; ///< duration of the lease that a poll grants to a minion
    /// Longest lease that a minion holds, on its own clock, whatever it is sent.
    std::int64_t longestLeaseMs = 5556;
    std::int64_t retentionMs = 150'000; ///< time for which an ended job and its rows are kept
    std::int64_t cancelMs = 0; ///< no task may start later than this after its cancellation; 0: any
    std::size_t maxAgents = 4096; ///< agents of one cell that its owner knows
    std::int64_t evacuateMs = 0;  ///< the same after the evacuation of its data centre; 0: any

    friend bool operator==(const DispatchLimits &, const DispatchLimits &) = default;
};

} // namespace lavenderarch
