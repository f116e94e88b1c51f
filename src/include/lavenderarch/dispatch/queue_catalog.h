// One version of the operators' configuration of queues.
#pragma once

#include "lavenderarch/dispatch/queue_policy.h"

#include <set>
#include <string_view>
#include <vector>

namespace lavenderarch {

/// Immutable after it was decoded; shared between threads by pointer.
struct QueueCatalog
{
    std::int64_t version = 0; ///< grows in uneven steps
    std::vector<QueuePolicy> queues;
    std::set<std::string> services;
    std::int64_t maxBodyBytes = 0; ///< 0: no limit

    /// The queue that host and path select; null when there is none.
    const QueuePolicy *find(std::string_view host, std::string_view path) const;
    /// True when some queue sends its tasks to `service`.
    bool serves(const std::string &service) const;

    friend bool operator==(const QueueCatalog &, const QueueCatalog &) = default;
};

} // namespace lavenderarch
