// Options of AgentRelay.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/routing/admission_limits.h"

namespace lavenderarch {

/// Value type. `minion`: where requests are forwarded. `incarnation`: start time of the agent in
/// ms.
struct AgentRelayOptions
{
    Address minion;
    EndpointId endpoint;
    std::int64_t incarnation = 0;
    AdmissionLimits limits;

    friend bool operator==(const AgentRelayOptions &, const AgentRelayOptions &) = default;
};

} // namespace lavenderarch
