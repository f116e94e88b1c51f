// Throttles, then evicts batch tasks when services on the same worker slow down.
#pragma once

#include "lavenderarch/core/time.h"
#include "lavenderarch/scheduling/mitigation_action.h"
#include "lavenderarch/scheduling/mitigation_candidate.h"

#include <map>
#include <vector>

namespace lavenderarch {

/// One instance serves all workers of a cell. The response escalates from half speed to quarter
/// speed to eviction; each step needs several consecutive reports of slow services. Throttling is
/// released step by step after several consecutive reports of recovered services. The two
/// thresholds differ (hysteresis). A token bucket limits the evictions of the cell. Not
/// thread-safe.
class InterferenceMitigator
{
public:
    /// Processes one new report of `worker`: `worstSlowdown` is the highest slowdown among its
    /// services, `candidates` are its batch tasks. Returns at most one action.
    std::vector<MitigationAction> evaluate(const WorkerId &worker, double worstSlowdown,
                                           const std::vector<MitigationCandidate> &candidates,
                                           TimePoint now);

    /// Takes the token for one eviction; false if none is left.
    bool tryConsumeToken(TimePoint now);

private:
    struct Record
    {
        int consecutiveSlowReports = 0;
        int consecutiveRecoveredReports = 0;
    };

    std::map<WorkerId, Record> m_records;
    double m_tokens = 2; // invariant: 0 <= m_tokens <= maxTokens
    TimePoint m_refilledAt;
};

} // namespace lavenderarch
