// Asks an agent whether a request ran.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Valid for one incarnation of the agent. Resolving a request that the agent does not know forbids
/// it from starting later.
struct ResolveRequest
{
    RequestId request;
    std::int64_t incarnation = 0;
    TimePoint requestDeadline;

    friend bool operator==(const ResolveRequest &, const ResolveRequest &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ResolveRequest, request, incarnation, requestDeadline)
};

} // namespace lavenderarch
