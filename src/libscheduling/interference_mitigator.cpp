// Response to interference.
#include "lavenderarch/scheduling/interference_mitigator.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr double badSlowdown = 1.3;
constexpr double goodSlowdown = 1.1;
constexpr int badReportsPerStep = 2;
constexpr int goodReportsPerRelease = 3;
constexpr double halfSpeed = 0.5;
constexpr double quarterSpeed = 0.25;
constexpr double largestBudget = 2;
constexpr double evictionsPerMinute = 2;
constexpr double millisecondsPerMinute = 60'000;

double nextThrottle(double throttle)
{
    return throttle > halfSpeed ? halfSpeed : quarterSpeed;
}

/// The candidate whose removal helps most per work lost.
const MitigationCandidate *worstOf(const std::vector<MitigationCandidate> &candidates)
{
    const auto worse = [](const MitigationCandidate &left, const MitigationCandidate &right) {
        return left.harm < right.harm;
    };
    const auto worst = std::max_element(candidates.begin(), candidates.end(), worse);
    return worst == candidates.end() ? nullptr : &*worst;
}

const MitigationCandidate *cheapestOf(const std::vector<MitigationCandidate> &candidates,
                                      double minHarm)
{
    const MitigationCandidate *cheapest = nullptr;
    for (const MitigationCandidate &candidate : candidates) {
        const bool harmful = candidate.harm >= minHarm;
        if (harmful && (cheapest == nullptr || candidate.lostWorkMs < cheapest->lostWorkMs))
            cheapest = &candidate;
    }
    return cheapest;
}

} // namespace

bool InterferenceMitigator::tryConsumeToken(TimePoint now)
{
    if (m_refilledAt != TimePoint()) {
        const double elapsedMs = static_cast<double>((now - m_refilledAt).count());
        m_tokens = std::min(largestBudget,
                            m_tokens + elapsedMs * evictionsPerMinute / millisecondsPerMinute);
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
    Entry &entry = m_entries[worker];
    entry.consecutiveSlowReports =
        worstSlowdown > badSlowdown ? entry.consecutiveSlowReports + 1 : 0;
    entry.consecutiveRecoveredReports =
        worstSlowdown < goodSlowdown ? entry.consecutiveRecoveredReports + 1 : 0;
    if (entry.consecutiveRecoveredReports >= goodReportsPerRelease) {
        entry.consecutiveRecoveredReports = 0;
        for (const MitigationCandidate &candidate : candidates) {
            if (candidate.throttle < 1)
                return {{MitigationAction::Kind::Throttle, candidate.task,
                         candidate.throttle < halfSpeed ? halfSpeed : 1.0}};
        }
        return {};
    }
    const MitigationCandidate *worst = worstOf(candidates);
    if (entry.consecutiveSlowReports < badReportsPerStep || worst == nullptr)
        return {};
    entry.consecutiveSlowReports = 0;
    std::vector<MitigationCandidate> throttleable;
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(throttleable),
        [](const MitigationCandidate &candidate) { return candidate.throttle > quarterSpeed; });
    const MitigationCandidate *next = worstOf(throttleable);
    if (next != nullptr && next->harm >= worst->harm / 2)
        return {{MitigationAction::Kind::Throttle, next->task, nextThrottle(next->throttle)}};
    const MitigationCandidate *victim = cheapestOf(candidates, worst->harm / 2);
    if (victim == nullptr || !tryConsumeToken(now))
        return {};
    return {{MitigationAction::Kind::Evict, victim->task, 1}};
}

} // namespace lavenderarch
