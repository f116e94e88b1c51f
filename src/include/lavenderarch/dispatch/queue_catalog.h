// One version of the queue configuration that operators set.
#pragma once

#include "lavenderarch/dispatch/queue_policy.h"

#include <set>
#include <string_view>
#include <vector>

namespace lavenderarch {

/// Immutable once decoded; shared between threads by pointer.
struct QueueCatalog
{
    std::int64_t version = 0; ///< increases with each change, not always by 1
    std::vector<QueuePolicy> queues;
    std::set<std::string> services;
    std::int64_t maxBodyBytes = 0; ///< 0: no limit

    /// The queue with the longest matching path prefix for `host`; null if none matches.
    const QueuePolicy *find(std::string_view host, std::string_view path) const;
    /// True if at least one queue sends its tasks to `service`.
    bool serves(const std::string &service) const;

    friend bool operator==(const QueueCatalog &, const QueueCatalog &) = default;
};

} // namespace lavenderarch
