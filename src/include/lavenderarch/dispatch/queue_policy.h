// One queue of the configuration.
#pragma once

#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Value type.
struct QueuePolicy
{
    std::string name;
    std::string host;       ///< authority that selects the queue
    std::string pathPrefix; ///< the longest matching prefix wins
    std::string service;
    int priority = 0;
    int attempts = 1;
    double stretch = 1;           ///< objective: stretch times the longest chain of work
    std::int64_t objectiveMs = 0; ///< and this much more
    std::int64_t timeoutMs = 0;   ///< of one request
    bool advised = false;         ///< starts need a ticket of the placement advice

    friend bool operator==(const QueuePolicy &, const QueuePolicy &) = default;
};

} // namespace lavenderarch
