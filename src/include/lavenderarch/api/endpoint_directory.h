// Endpoints, their load and the retry budget of one entry, shared by its threads.
#pragma once

#include "lavenderarch/membership/endpoint_table.h"
#include "lavenderarch/routing/retry_budget.h"
#include "lavenderarch/routing/router.h"

#include <mutex>
#include <optional>

namespace lavenderarch {

/// Thread-safe. Its mutex is a leaf: no other lock is taken while it is held.
class EndpointDirectory
{
public:
    /// `uniform`: the baseline of measurements, which knows no load and never retries.
    EndpointDirectory(RoutingQuery baseQuery, RandomEngine random, bool uniform = false);

    void announce(const Announcement &announcement, TimePoint now);
    void setExcludedDataCentres(std::set<DataCentreName> names);
    void expire(TimePoint now);

    /// Endpoint for the next attempt; counts it as sent.
    std::optional<Announcement> choose(const ServiceName &service,
                                       const std::set<EndpointId> &tried, TimePoint now);
    void noteResult(const EndpointId &endpoint, AttemptResult result, Milliseconds elapsed,
                    int reportedLoad, TimePoint now);
    void noteFirstAttempt();
    bool tryRetry();

    std::vector<Announcement> all() const;

private:
    mutable std::mutex m_mutex;
    RoutingQuery m_baseQuery;
    RandomEngine m_random;
    EndpointTable m_table;
    LoadTracker m_load;
    RetryBudget m_budget;
    bool m_uniform;
};

} // namespace lavenderarch
