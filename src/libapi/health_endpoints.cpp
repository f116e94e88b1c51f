// Responses of /healthz, /readyz and /metrics.
#include "lavenderarch/api/health_endpoints.h"

#include "lavenderarch/http/header_names.h"

namespace lavenderarch {

std::optional<HttpResponse> handleHealth(const HttpRequest &request, const Status &readiness,
                                         const Metrics &metrics)
{
    if (request.path == "/healthz")
        return jsonResponse(200, {{"alive", true}});
    if (request.path == "/readyz")
        return readiness.ok() ? jsonResponse(200, {{"ready", true}}) : errorResponse(readiness);
    if (request.path == "/metrics")
        return HttpResponse{
            200, {{header::contentType, "text/plain; version=0.0.4"}}, metrics.exposition()};
    return std::nullopt;
}

} // namespace lavenderarch
