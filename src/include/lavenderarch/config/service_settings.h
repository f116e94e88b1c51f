// Settings of a service in the manifest.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// `timeoutMs` applies to requests without a deadline; `maxAttempts` includes the first attempt.
struct ServiceSettings
{
    ServiceName name;
    bool latencyCritical = true;
    bool idempotent = false; ///< requests of every method may be sent again
    int timeoutMs = 10'000;
    int maxAttempts = 3;

    friend bool operator==(const ServiceSettings &, const ServiceSettings &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ServiceSettings, name, latencyCritical, idempotent,
                                                timeoutMs, maxAttempts)
};

} // namespace lavenderarch
