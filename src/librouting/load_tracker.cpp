// Outlier ejection, slow start and the load score of endpoints.
#include "lavenderarch/routing/load_tracker.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr double smoothingFactor = 0.1;
constexpr int failuresBeforeEjection = 3;
constexpr Milliseconds baseEjectionTime{500};
constexpr int maxEjectionDoublings = 4;
constexpr Milliseconds slowStartWindow{3000};
constexpr double minSlowStartWeight = 0.1;
constexpr double refusalPenaltyMs = 1;
/// Weight of utilisation in the score; prefers less loaded endpoints while slots are free.
constexpr double utilisationWeight = 0.25;

} // namespace

void LoadTracker::noteSent(const EndpointId &endpoint, TimePoint now)
{
    Entry &entry = m_entries[endpoint];
    ++entry.outstanding;
    const bool returning = entry.ejections > 0 && entry.ejectedUntil <= now;
    entry.probing = entry.probing || (returning && entry.consecutiveFailures > 0);
}

void LoadTracker::noteFailure(Entry &entry, TimePoint now)
{
    ++entry.consecutiveFailures;
    const bool failedProbe = entry.probing;
    entry.probing = false;
    if (entry.consecutiveFailures < failuresBeforeEjection && !failedProbe)
        return;
    entry.ejectedUntil =
        now + baseEjectionTime * (1 << std::min(entry.ejections, maxEjectionDoublings));
    ++entry.ejections;
}

void LoadTracker::noteResult(const EndpointId &endpoint, AttemptResult result, Milliseconds elapsed,
                             int reportedLoad, TimePoint now)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    entry.outstanding = std::max(0, entry.outstanding - 1);
    if (result == AttemptResult::Failed) {
        noteFailure(entry, now);
        return;
    }
    if (entry.probing)
        entry.slowStartEndsAt = now + slowStartWindow;
    entry.probing = false;
    entry.consecutiveFailures = 0;
    entry.ejections = 0;
    entry.reportedLoad = reportedLoad;
    const double sample = result == AttemptResult::Refused ? entry.responseTimeMs + refusalPenaltyMs
                                                           : static_cast<double>(elapsed.count());
    entry.responseTimeMs += smoothingFactor * (sample - entry.responseTimeMs);
}

void LoadTracker::noteEndpointAdded(const EndpointId &endpoint, TimePoint now)
{
    Entry entry;
    entry.slowStartEndsAt = now + slowStartWindow;
    m_entries[endpoint] = entry;
}

bool LoadTracker::isUsable(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return true;
    return found->second.ejectedUntil <= now && !found->second.probing;
}

double LoadTracker::score(const EndpointId &endpoint, int slots, TimePoint now) const
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return 0;
    const Entry &entry = found->second;
    const double load = std::max(entry.outstanding, entry.reportedLoad);
    const double utilisation = (load + 1) / std::max(1, slots);
    const double overload = std::max(0.0, utilisation - 1);
    const double remainingMs = static_cast<double>((entry.slowStartEndsAt - now).count());
    const double rampUp = 1 - remainingMs / static_cast<double>(slowStartWindow.count());
    const double slowStartWeight = std::clamp(rampUp, minSlowStartWeight, 1.0);
    return (entry.responseTimeMs + 1) *
           (1 + utilisationWeight * std::min(1.0, utilisation) + overload) / slowStartWeight;
}

void LoadTracker::noteLoad(const EndpointId &endpoint, int load)
{
    m_entries[endpoint].reportedLoad = load;
}

int LoadTracker::load(const EndpointId &endpoint) const
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return 0;
    return std::max(found->second.outstanding, found->second.reportedLoad);
}

} // namespace lavenderarch
