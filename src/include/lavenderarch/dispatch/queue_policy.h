// Configuration of one queue.
#pragma once

#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Value type.
struct QueuePolicy
{
    std::string name;
    std::string host;       ///< host of the requests that the queue accepts
    std::string pathPrefix; ///< path prefix of these requests; the longest matching prefix wins
    std::string service;
    int priority = 0;
    int attempts = 1;
    /// A job's objective is `stretch` times the duration of its critical path, plus `objectiveMs`.
    double stretch = 1;
    std::int64_t objectiveMs = 0;
    std::int64_t timeoutMs = 0; ///< timeout of one request
    bool advised = false;       ///< starts need a ticket from the placement advice

    friend bool operator==(const QueuePolicy &, const QueuePolicy &) = default;
};

} // namespace lavenderarch
