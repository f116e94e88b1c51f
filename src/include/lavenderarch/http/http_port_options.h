// Limits of one port of an EventHttpServer.
#pragma once

#include "lavenderarch/core/time.h"

#include <cstddef>

namespace lavenderarch {

/// Value type.
struct HttpPortOptions
{
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    Milliseconds requestTimeout{5000}; ///< from the first byte of a request to its last one
    Milliseconds idleTimeout{15'000};  ///< for which a connection without a request stays open

    friend bool operator==(const HttpPortOptions &, const HttpPortOptions &) = default;
};

} // namespace lavenderarch
