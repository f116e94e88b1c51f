// Endpoint table, load tracker and retry budget, guarded by one mutex.
#include "lavenderarch/api/endpoint_directory.h"

namespace lavenderarch {
namespace {

constexpr double retriesPerFirstAttempt = 0.1;
constexpr double maxRetryTokens = 20;

} // namespace

EndpointDirectory::EndpointDirectory(RoutingQuery baseQuery, RandomEngine random, bool uniform)
    : m_baseQuery(std::move(baseQuery))
    , m_random(random)
    , m_budget(retriesPerFirstAttempt, maxRetryTokens)
    , m_uniform(uniform)
{
}

void EndpointDirectory::apply(const Announcement &announcement, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const bool changed = m_table.apply(announcement, now);
    if (changed && announcement.state == EndpointState::Serving)
        m_load.noteEndpointAdded(announcement.endpoint, now);
    m_load.noteLoad(announcement.endpoint, announcement.running + announcement.queued);
}

void EndpointDirectory::setExcludedDataCentres(std::set<DataCentreName> names)
{
    const std::scoped_lock lock(m_mutex);
    m_baseQuery.excludedDataCentres = std::move(names);
}

void EndpointDirectory::expire(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_table.expire(now);
}

std::optional<Announcement> EndpointDirectory::choose(const ServiceName &service,
                                                      const std::set<EndpointId> &tried,
                                                      TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_table.expire(now);
    const auto list = m_table.serving();
    RoutingQuery query = m_baseQuery;
    query.excludedEndpoints = tried;
    const Announcement *chosen =
        m_uniform ? chooseUniformly(list->of(service), query, m_random)
                  : chooseEndpoint(list->of(service), query, m_load, m_random, now);
    if (chosen == nullptr)
        return std::nullopt;
    m_load.noteSent(chosen->endpoint, now);
    return *chosen;
}

void EndpointDirectory::noteResult(const EndpointId &endpoint, AttemptResult result,
                                   Milliseconds elapsed, int reportedLoad, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_load.noteResult(endpoint, result, elapsed, reportedLoad, now);
}

void EndpointDirectory::noteFirstAttempt()
{
    const std::scoped_lock lock(m_mutex);
    m_budget.noteFirstAttempt();
}

bool EndpointDirectory::tryRetry()
{
    const std::scoped_lock lock(m_mutex);
    return !m_uniform && m_budget.tryRetry();
}

std::vector<Announcement> EndpointDirectory::all() const
{
    const std::scoped_lock lock(m_mutex);
    return m_table.all();
}

} // namespace lavenderarch
