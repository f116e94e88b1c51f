// Constraints of the choice of an endpoint.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include <set>
#include <string>

namespace lavenderarch {

/// Location of the caller, and the data centres and endpoints that must not be chosen.
struct RoutingQuery
{
    DataCentreName ownDataCentre;
    std::string ownRegion;
    std::set<DataCentreName> excludedDataCentres; ///< taken out of service by operators
    std::set<EndpointId> excludedEndpoints;       ///< already tried for this request

    friend bool operator==(const RoutingQuery &, const RoutingQuery &) = default;
};

} // namespace lavenderarch
