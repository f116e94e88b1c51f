// Throttle, then checkpoint and evict, when services on a worker slow down.
#pragma once

#include "lavenderarch/core/time.h"
#include "lavenderarch/scheduling/mitigation_action.h"
#include "lavenderarch/scheduling/mitigation_candidate.h"

#include <map>
#include <vector>

namespace lavenderarch {

/// One ladder per cell. Steps: half speed, quarter speed, eviction; each needs several bad reports
/// in a row. A throttle is released after several good ones (hysteresis). Evictions come out of a
/// budget that refills over time. Not thread-safe.
class InterferenceMitigator
{
public:
    /// Judges one new report of `worker`: the worst slowdown of its services and its batch tasks.
    std::vector<MitigationAction> evaluate(const WorkerId &worker, double worstSlowdown,
                                           const std::vector<MitigationCandidate> &candidates,
                                           TimePoint now);

    /// Takes one eviction from the budget; false when it is spent.
    bool tryConsumeToken(TimePoint now);

private:
    struct Entry
    {
        int consecutiveSlowReports = 0;
        int consecutiveRecoveredReports = 0;
    };

    std::map<WorkerId, Entry> m_entries;
    double m_tokens = 2; // invariant: 0 <= m_tokens <= the largest saved
    TimePoint m_refilledAt;
};

} // namespace lavenderarch
