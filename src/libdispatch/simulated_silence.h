// A period in which a simulated minion is up but its agent gets no answers from it.
#pragma once

#include "simulated_minion.h"

#include <vector>

namespace lavenderarch::testing {

/// While silent, a renewal takes effect at once, up to 9 s late or not at all.
class SimulatedSilence
{
public:
    void begin(BootTime until) { m_until = until; }
    bool isActive(BootTime now) const { return now < m_until; }

    /// Renews the lease of `minion`. Returns nothing while silent.
    std::optional<MinionListing> renew(SimulatedMinion &minion,
                                       const std::optional<RunLedger::Lease> &lease,
                                       std::int64_t fence, std::int64_t endsSeen, BootTime now,
                                       RandomEngine &random)
    {
        for (const LateRenewal &late : std::exchange(m_late, {})) {
            if (late.at > now)
                m_late.push_back(late);
            else if (late.incarnation == minion.facts.incarnation)
                minion.renew(late.lease, late.fence, 0, now);
        }
        if (!isActive(now))
            return minion.renew(lease, fence, endsSeen, now);
        const auto delayMs = static_cast<int>(random() % 9000);
        if (random() % 3 == 0)
            minion.renew(lease, fence, endsSeen, now);
        else if (random() % 2 == 0)
            m_late.push_back({now + Milliseconds(delayMs), minion.facts.incarnation, lease, fence});
        return std::nullopt;
    }

private:
    /// A renewal that the minion executes late.
    struct LateRenewal
    {
        BootTime at{};
        MinionIncarnation incarnation;
        std::optional<RunLedger::Lease> lease;
        std::int64_t fence = 0;
    };

    BootTime m_until{};
    std::vector<LateRenewal> m_late;
};

} // namespace lavenderarch::testing
