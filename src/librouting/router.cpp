// Endpoint selection: power of two random choices in each tier, plus a distance penalty.
#include "lavenderarch/routing/router.h"

#include <array>

namespace lavenderarch {
namespace {

constexpr std::size_t tierCount = 3;
/// Added to the score by tier: own data centre, own region, other regions.
constexpr std::array<double, tierCount> tierPenaltyMs = {0, 2, 30};

using Candidates = std::vector<const Announcement *>;

int tierOf(const Announcement &endpoint, const RoutingQuery &query)
{
    if (endpoint.dataCentre == query.ownDataCentre)
        return 0;
    return endpoint.region == query.ownRegion ? 1 : 2;
}

bool isAllowed(const Announcement &endpoint, const RoutingQuery &query)
{
    return query.excludedDataCentres.count(endpoint.dataCentre) == 0 &&
           query.excludedEndpoints.count(endpoint.endpoint) == 0;
}

const Announcement *pickOne(const Candidates &candidates, RandomEngine &random)
{
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)];
}

double scoreOf(const Announcement &endpoint, const LoadTracker &load, TimePoint now)
{
    return load.score(endpoint.endpoint, endpoint.slots, now);
}

/// The better of two different random endpoints. They differ because an endpoint compared with
/// itself would be chosen regardless of its score, so that a slow one would keep receiving
/// requests.
const Announcement *pickBetterOfTwo(const Candidates &candidates, const LoadTracker &load,
                                    RandomEngine &random, TimePoint now)
{
    if (candidates.size() == 1)
        return candidates.front();
    const std::size_t last = candidates.size() - 1;
    const auto first = std::uniform_int_distribution<std::size_t>(0, last)(random);
    auto second = std::uniform_int_distribution<std::size_t>(0, last - 1)(random);
    second += second >= first ? 1 : 0;
    const double firstScore = scoreOf(*candidates[first], load, now);
    const double secondScore = scoreOf(*candidates[second], load, now);
    return candidates[firstScore <= secondScore ? first : second];
}

} // namespace

const Announcement *chooseEndpoint(const std::vector<Announcement> &endpoints,
                                   const RoutingQuery &query, const LoadTracker &load,
                                   RandomEngine &random, TimePoint now)
{
    std::array<Candidates, tierCount> withFreeSlot;
    Candidates usable;
    for (const Announcement &endpoint : endpoints) {
        if (!isAllowed(endpoint, query) || !load.isUsable(endpoint.endpoint, now))
            continue;
        usable.push_back(&endpoint);
        if (load.load(endpoint.endpoint) < endpoint.slots)
            withFreeSlot[static_cast<std::size_t>(tierOf(endpoint, query))].push_back(&endpoint);
    }
    const Announcement *best = nullptr;
    double lowestCost = 0;
    for (std::size_t tier = 0; tier < withFreeSlot.size(); ++tier) {
        if (withFreeSlot[tier].empty())
            continue;
        const Announcement *candidate = pickBetterOfTwo(withFreeSlot[tier], load, random, now);
        const double cost = scoreOf(*candidate, load, now) + tierPenaltyMs[tier];
        if (best == nullptr || cost < lowestCost) {
            best = candidate;
            lowestCost = cost;
        }
    }
    if (best != nullptr)
        return best;
    return usable.empty() ? nullptr : pickBetterOfTwo(usable, load, random, now);
}

const Announcement *chooseUniformly(const std::vector<Announcement> &endpoints,
                                    const RoutingQuery &query, RandomEngine &random)
{
    Candidates allowed;
    for (const Announcement &endpoint : endpoints) {
        if (isAllowed(endpoint, query))
            allowed.push_back(&endpoint);
    }
    return allowed.empty() ? nullptr : pickOne(allowed, random);
}

} // namespace lavenderarch
