// State of an endpoint as its agent sends it to the entries.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"
#include "lavenderarch/protocol/endpoint_state.h"

namespace lavenderarch {

/// (incarnation, sequence) orders the announcements of one endpoint. The incarnation is the start
/// time of the agent in ms, so a restart increases it; `sequence` counts within an incarnation.
struct Announcement
{
    EndpointId endpoint;
    ServiceName service;
    DataCentreName dataCentre;
    std::string region;
    std::string rack;
    Address address;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    EndpointState state = EndpointState::Serving;
    int slots = 0;
    int running = 0;
    int queued = 0;
    std::int64_t manifestVersion = 0;
    TimePoint deadline; ///< the announcement expires at this time

    friend bool operator==(const Announcement &, const Announcement &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Announcement, endpoint, service, dataCentre, region, rack,
                                   address, incarnation, sequence, state, slots, running, queued,
                                   manifestVersion, deadline)
};

} // namespace lavenderarch
