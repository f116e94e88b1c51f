// Stored claim of an idempotency key.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Row `claim/<service>/<digest of the key>`. `attempt` is the only attempt that may run, at the
/// given agent and incarnation. When `done`, `httpStatus`, `contentType` and `body` hold the
/// response of the first execution.
struct ClaimRecord
{
    std::string key;
    std::string fingerprint; ///< digest of method, path and body
    RequestId attempt;
    EndpointId endpoint;
    Address agent;
    std::int64_t incarnation = 0;
    TimePoint attemptDeadline;
    bool done = false;
    int httpStatus = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ClaimRecord, key, fingerprint, attempt, endpoint, agent,
                                   incarnation, attemptDeadline, done, httpStatus, contentType,
                                   body)
};

} // namespace lavenderarch
