// Metric and log line of what an HTTP server refuses.
#include "http_refusals.h"

#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/metrics.h"

namespace lavenderarch {
namespace {

std::string nameOf(HttpLimit limit)
{
    switch (limit) {
    case HttpLimit::Syntax:
        return "syntax";
    case HttpLimit::Fields:
        return "fields";
    case HttpLimit::Body:
        return "body";
    case HttpLimit::Framing:
        return "framing";
    case HttpLimit::Memory:
        return "memory";
    case HttpLimit::Connections:
        break;
    }
    return "connections";
}

} // namespace

void HttpRefusals::add(HttpLimit limit, const Status &error)
{
    const std::string name = nameOf(limit);
    m_metrics.increment("lavender_http_refused_total", {{"limit", name}});
    if (const auto count = m_throttle.admit(name))
        logFailure("http", "refused", error,
                   {{"limit", name}, {"refusedSoFar", std::to_string(*count)}});
}

} // namespace lavenderarch
