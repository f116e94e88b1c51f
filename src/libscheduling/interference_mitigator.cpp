// Escalating response to interference: throttling, then eviction.
#include "lavenderarch/scheduling/interference_mitigator.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Slowdown of a service above which a report counts as slow.
constexpr double slowThreshold = 1.3;
/// Slowdown of the services below which a report counts as recovered.
constexpr double recoveredThreshold = 1.1;
constexpr int slowReportsPerStep = 2;
constexpr int recoveredReportsPerRelease = 3;
constexpr double halfSpeed = 0.5;
constexpr double quarterSpeed = 0.25;
constexpr double maxTokens = 2;
constexpr double evictionsPerMinute = 2;
constexpr double millisecondsPerMinute = 60'000;

double nextThrottle(double throttle)
{
    return throttle > halfSpeed ? halfSpeed : quarterSpeed;
}

/// The candidate with the highest harm; null if there is none.
const MitigationCandidate *mostHarmfulOf(const std::vector<MitigationCandidate> &candidates)
{
    const auto lessHarmful = [](const MitigationCandidate &left, const MitigationCandidate &right) {
        return left.harm < right.harm;
    };
    const auto mostHarmful = std::max_element(candidates.begin(), candidates.end(), lessHarmful);
    return mostHarmful == candidates.end() ? nullptr : &*mostHarmful;
}

/// Of the candidates with at least `minHarm`, the one whose eviction loses the least work.
const MitigationCandidate *leastLostWorkOf(const std::vector<MitigationCandidate> &candidates,
                                           double minHarm)
{
    const MitigationCandidate *leastLostWork = nullptr;
    for (const MitigationCandidate &candidate : candidates) {
        const bool harmful = candidate.harm >= minHarm;
        if (harmful &&
            (leastLostWork == nullptr || candidate.lostWorkMs < leastLostWork->lostWorkMs))
            leastLostWork = &candidate;
    }
    return leastLostWork;
}

} // namespace

bool InterferenceMitigator::tryConsumeToken(TimePoint now)
{
    if (m_refilledAt != TimePoint()) {
        const double elapsedMs = static_cast<double>((now - m_refilledAt).count());
        m_tokens =
            std::min(maxTokens, m_tokens + elapsedMs * evictionsPerMinute / millisecondsPerMinute);
    }
    m_refilledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

std::vector<MitigationAction>
InterferenceMitigator::evaluate(const WorkerId &worker, double worstSlowdown,
                                const std::vector<MitigationCandidate> &candidates, TimePoint now)
{
    Record &record = m_records[worker];
    record.consecutiveSlowReports =
        worstSlowdown > slowThreshold ? record.consecutiveSlowReports + 1 : 0;
    record.consecutiveRecoveredReports =
        worstSlowdown < recoveredThreshold ? record.consecutiveRecoveredReports + 1 : 0;
    if (record.consecutiveRecoveredReports >= recoveredReportsPerRelease) {
        record.consecutiveRecoveredReports = 0;
        for (const MitigationCandidate &candidate : candidates) {
            if (candidate.throttle < 1)
                return {{MitigationAction::Kind::Throttle, candidate.task,
                         candidate.throttle < halfSpeed ? halfSpeed : 1.0}};
        }
        return {};
    }
    const MitigationCandidate *mostHarmful = mostHarmfulOf(candidates);
    if (record.consecutiveSlowReports < slowReportsPerStep || mostHarmful == nullptr)
        return {};
    record.consecutiveSlowReports = 0;
    std::vector<MitigationCandidate> throttleable;
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(throttleable),
        [](const MitigationCandidate &candidate) { return candidate.throttle > quarterSpeed; });
    const MitigationCandidate *next = mostHarmfulOf(throttleable);
    if (next != nullptr && next->harm >= mostHarmful->harm / 2)
        return {{MitigationAction::Kind::Throttle, next->task, nextThrottle(next->throttle)}};
    const MitigationCandidate *victim = leastLostWorkOf(candidates, mostHarmful->harm / 2);
    if (victim == nullptr || !tryConsumeToken(now))
        return {};
    return {{MitigationAction::Kind::Evict, victim->task, 1}};
}

} // namespace lavenderarch
