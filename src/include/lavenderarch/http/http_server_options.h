// Limits of an HttpServer.
#pragma once

#include <cstddef>

namespace lavenderarch {

/// Value type. Each of the `threads` serves one connection at a time.
struct HttpServerOptions
{
    int threads = 64;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    /// Memory for the bodies of all requests, except small ones, until they are answered. At least
    /// maxBodyBytes is used.
    std::size_t bodyMemoryBytes = std::size_t{32} * 1024 * 1024;
    int requestTimeoutMs = 5000;
    int keepAliveTimeoutMs = 2000;

    friend bool operator==(const HttpServerOptions &, const HttpServerOptions &) = default;
};

} // namespace lavenderarch
