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
    /// `baseQuery`: location of this entry. `uniform`: baseline for measurements, which ignores
    /// load and never retries.
    EndpointDirectory(RoutingQuery baseQuery, RandomEngine random, bool uniform = false);

    /// Applies an announcement to the endpoint table and records the reported load.
    void apply(const Announcement &announcement, TimePoint now);
    void setExcludedDataCentres(std::set<DataCentreName> names);
    /// Removes endpoints whose announcement has expired.
    void expire(TimePoint now);

    /// Chooses the endpoint for the next attempt and counts the attempt as sent. Empty when no
    /// endpoint qualifies. `tried` endpoints are excluded.
    std::optional<Announcement> choose(const ServiceName &service,
                                       const std::set<EndpointId> &tried, TimePoint now);
    void noteResult(const EndpointId &endpoint, AttemptResult result, Milliseconds elapsed,
                    int reportedLoad, TimePoint now);
    void noteFirstAttempt();
    /// Takes one retry from the retry budget; false when the retry must not be sent.
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
