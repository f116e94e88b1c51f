// A caller's request with validated path and headers.
#pragma once

#include "lavenderarch/config/manifest.h"
#include "lavenderarch/http/http_request.h"

namespace lavenderarch {

/// Value type. `http.path` is the path that the minion sees.
struct CallerRequest
{
    RequestId id;
    ServiceName service;
    bool idempotent = false;
    bool latencyCritical = true;
    int maxAttempts = 1;
    std::string key; ///< idempotency key; empty: none
    TimePoint deadline;
    std::int64_t manifestVersion = 0;
    HttpRequest http;

    friend bool operator==(const CallerRequest &, const CallerRequest &) = default;
};

/// Validates path and headers against the manifest; errors name the header or the service.
StatusOr<CallerRequest> parseCallerRequest(const HttpRequest &request, const Manifest &manifest,
                                           TimePoint now);

} // namespace lavenderarch
