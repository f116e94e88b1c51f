// Waits from a sliding window of observations.
#include "lavenderarch/dispatch/backlog_meter.h"

namespace lavenderarch {
namespace {

/// Minimum time between two observations.
constexpr Milliseconds observationInterval{100};
/// Time over which the rate is measured, and the shortest time that gives a rate. A slow commit of
/// the owner takes up to a second.
constexpr Milliseconds maxMeasurementTime{3000};
constexpr Milliseconds minMeasurementTime{1000};
/// A rate of fewer jobs says little.
constexpr std::int64_t minJobs = 5;
/// Age at which an observation is no longer used. Entries follow the job states with calls that
/// last up to a second.
constexpr Milliseconds maxAge{1500};

} // namespace

void BacklogMeter::observe(const std::map<std::string, QueueBacklog> &queues, BootTime now)
{
    if (now < m_nextObservation)
        return;
    m_nextObservation = now + observationInterval;
    for (const auto &[queue, backlog] : queues) {
        auto &[observations, lastBegin] = m_queues[queue];
        if (!observations.empty() && backlog.begun > observations.back().backlog.begun)
            lastBegin = now;
        if (backlog.waiting == 0)
            observations.clear();
        observations.push_back({now, backlog});
        while (observations.size() > 1 && observations[1].at <= now - maxMeasurementTime)
            observations.pop_front();
    }
}

std::optional<Milliseconds> BacklogMeter::wait(const std::string &queue, BootTime now) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end())
        return std::nullopt;
    const auto &[observations, lastBegin] = found->second;
    const Observation &first = observations.front();
    const Observation &last = observations.back();
    // Without the time since the last begin, as the cell may have no owner.
    const Milliseconds elapsed = lastBegin - first.at;
    const std::int64_t jobs = last.backlog.begun - first.backlog.begun;
    if (now - last.at > maxAge || elapsed < minMeasurementTime || jobs < minJobs)
        return std::nullopt;
    return elapsed * last.backlog.waiting / jobs;
}

} // namespace lavenderarch
