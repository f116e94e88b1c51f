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
    Record &record = m_records[endpoint];
    ++record.outstanding;
    const bool returning = record.ejections > 0 && record.ejectedUntil <= now;
    record.probing = record.probing || (returning && record.consecutiveFailures > 0);
}

void LoadTracker::noteFailure(Record &record, TimePoint now)
{
    ++record.consecutiveFailures;
    const bool failedProbe = record.probing;
    record.probing = false;
    if (record.consecutiveFailures < failuresBeforeEjection && !failedProbe)
        return;
    record.ejectedUntil =
        now + baseEjectionTime * (1 << std::min(record.ejections, maxEjectionDoublings));
    ++record.ejections;
}

void LoadTracker::noteResult(const EndpointId &endpoint, AttemptResult result, Milliseconds elapsed,
                             int reportedLoad, TimePoint now)
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end())
        return;
    Record &record = found->second;
    record.outstanding = std::max(0, record.outstanding - 1);
    if (result == AttemptResult::Failed) {
        noteFailure(record, now);
        return;
    }
    if (record.probing)
        record.slowStartEndsAt = now + slowStartWindow;
    record.probing = false;
    record.consecutiveFailures = 0;
    record.ejections = 0;
    record.reportedLoad = reportedLoad;
    const double sample = result == AttemptResult::Refused
                              ? record.responseTimeMs + refusalPenaltyMs
                              : static_cast<double>(elapsed.count());
    record.responseTimeMs += smoothingFactor * (sample - record.responseTimeMs);
}

void LoadTracker::noteEndpointAdded(const EndpointId &endpoint, TimePoint now)
{
    Record record;
    record.slowStartEndsAt = now + slowStartWindow;
    m_records[endpoint] = record;
}

bool LoadTracker::isUsable(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end())
        return true;
    return found->second.ejectedUntil <= now && !found->second.probing;
}

double LoadTracker::score(const EndpointId &endpoint, int slots, TimePoint now) const
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end())
        return 0;
    const Record &record = found->second;
    const double load = std::max(record.outstanding, record.reportedLoad);
    const double utilisation = (load + 1) / std::max(1, slots);
    const double overload = std::max(0.0, utilisation - 1);
    const double remainingMs = static_cast<double>((record.slowStartEndsAt - now).count());
    const double rampUp = 1 - remainingMs / static_cast<double>(slowStartWindow.count());
    const double slowStartWeight = std::clamp(rampUp, minSlowStartWeight, 1.0);
    return (record.responseTimeMs + 1) *
           (1 + utilisationWeight * std::min(1.0, utilisation) + overload) / slowStartWeight;
}

void LoadTracker::noteLoad(const EndpointId &endpoint, int load)
{
    m_records[endpoint].reportedLoad = load;
}

int LoadTracker::load(const EndpointId &endpoint) const
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end())
        return 0;
    return std::max(found->second.outstanding, found->second.reportedLoad);
}

} // namespace lavenderarch
