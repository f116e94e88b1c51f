// Limits of an HttpClient.
#pragma once

#include "lavenderarch/core/time.h"

#include <cstddef>

namespace lavenderarch {

/// Value type.
struct HttpClientOptions
{
    /// Connections that were idle for longer are not reused. Must be shorter than the keep-alive
    /// timeout of the servers.
    Milliseconds maxIdleTime{1000};
    std::size_t maxBodyBytes = std::size_t{64} * 1024 * 1024; ///< largest body of a response

    friend bool operator==(const HttpClientOptions &, const HttpClientOptions &) = default;
};

} // namespace lavenderarch
