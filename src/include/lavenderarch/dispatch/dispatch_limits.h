// Figures of the dispatch package that a deployment sets.
#pragma once

#include "lavenderarch/core/json.h"
#include "lavenderarch/core/time.h"

namespace lavenderarch {

/// Durations that a deployment's pages state or that follow from them; set once at start.
struct DispatchLimits
{
    std::int64_t leaseMs = 5000;        ///< lease that a poll grants to a minion
    std::int64_t retentionMs = 150'000; ///< how long an ended job stays known

    friend bool operator==(const DispatchLimits &, const DispatchLimits &) = default;
};

} // namespace lavenderarch
