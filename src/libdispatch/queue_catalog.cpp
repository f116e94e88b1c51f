// Queue lookup by host and path, and by service.
#include "lavenderarch/dispatch/queue_catalog.h"

#include <algorithm>

namespace lavenderarch {

const QueuePolicy *QueueCatalog::find(std::string_view host, std::string_view path) const
{
    const QueuePolicy *best = nullptr;
    for (const QueuePolicy &queue : queues) {
        const bool matches =
            queue.host == host && path.substr(0, queue.pathPrefix.size()) == queue.pathPrefix;
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

bool QueueCatalog::serves(const std::string &service) const
{
    return std::any_of(queues.begin(), queues.end(),
                       [&](const QueuePolicy &queue) { return queue.service == service; });
}

} // namespace lavenderarch
