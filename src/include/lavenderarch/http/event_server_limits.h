// Limits of an EventHttpServer, over all its ports.
#pragma once

#include <cstddef>

namespace lavenderarch {

/// Value type.
struct EventServerLimits
{
    std::size_t maxConnections = 1024;
    /// Memory for connections, requests until they are answered, and responses until they are sent.
    /// A body counts with its declared length, or with the limit of its port, while it is read.
    std::size_t maxMemoryBytes = std::size_t{24} * 1024 * 1024;

    friend bool operator==(const EventServerLimits &, const EventServerLimits &) = default;
};

} // namespace lavenderarch
