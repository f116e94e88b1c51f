// Chooses the endpoint for one attempt.
#pragma once

#include "lavenderarch/core/random.h"
#include "lavenderarch/protocol/announcement.h"
#include "lavenderarch/routing/load_tracker.h"
#include "lavenderarch/routing/routing_query.h"

#include <set>
#include <vector>

namespace lavenderarch {

/// Picks the better of two random endpoints with a free slot in each tier (own data centre, own
/// region, other regions), and of these the one with the lowest score plus distance penalty. When
/// no slot is free anywhere, picks the better of two random endpoints among all usable ones.
/// Returns nullptr when there is no usable endpoint.
const Announcement *chooseEndpoint(const std::vector<Announcement> &endpoints,
                                   const RoutingQuery &query, const LoadTracker &load,
                                   RandomEngine &random, TimePoint now);

/// Baseline for measurements: a uniformly random endpoint that is not excluded, regardless of load
/// and health. Returns nullptr when there is none.
const Announcement *chooseUniformly(const std::vector<Announcement> &endpoints,
                                    const RoutingQuery &query, RandomEngine &random);

} // namespace lavenderarch
