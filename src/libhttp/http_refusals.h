// Counts and logs what an HTTP server refuses.
#pragma once

#include "lavenderarch/core/status.h"
#include "lavenderarch/telemetry/log_throttle.h"

#include <string_view>

namespace lavenderarch {

class Metrics;

/// Limit that a request or a connection exceeded.
enum class HttpLimit {
    Syntax,      ///< the request is not HTTP, or its head is too large
    Fields,      ///< number of header fields
    Body,        ///< size of a body
    Framing,     ///< size of a chunk header or of the trailers
    Memory,      ///< memory of all connections
    Connections, ///< number of connections
};

/// Thread-safe. The metrics must outlive it.
class HttpRefusals
{
public:
    explicit HttpRefusals(Metrics &metrics)
        : m_metrics(metrics)
    {
    }

    void add(HttpLimit limit, const Status &error);

private:
    Metrics &m_metrics;
    LogThrottle m_throttle;
};

} // namespace lavenderarch
