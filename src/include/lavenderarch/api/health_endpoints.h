// /healthz, /readyz and /metrics, the same for every daemon.
#pragma once

#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"
#include "lavenderarch/telemetry/metrics.h"

#include <optional>

namespace lavenderarch {

/// Returns the response to the three paths, std::nullopt for any other. `readiness` is OK when the
/// process accepts work.
std::optional<HttpResponse> handleHealth(const HttpRequest &request, const Status &readiness,
                                         const Metrics &metrics);

} // namespace lavenderarch
