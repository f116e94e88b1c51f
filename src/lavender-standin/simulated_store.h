// Simulated table service and object store with configurable faults.
#pragma once

#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"
#include "lavenderarch/storage/memory_object_store.h"
#include "lavenderarch/storage/memory_table.h"

#include <atomic>

namespace lavenderarch {

/// Thread-safe. Faults: down (requests fail with StoreUnavailable), delayMs (delay before each
/// table response), loseEvery (n: every n-th commit takes effect but its response is dropped; 0:
/// none).
class SimulatedStore
{
public:
    HttpResponse handleTable(const HttpRequest &request);
    HttpResponse handleObject(const HttpRequest &request);
    /// Sets the faults named in `body`; the others keep their values.
    HttpResponse setFaults(const Json &body);
    Json counters() const;

private:
    MemoryTable m_table;
    MemoryObjectStore m_objects;
    std::atomic<bool> m_down{false};
    std::atomic<int> m_delayMs{0};
    std::atomic<int> m_loseEvery{0};
    std::atomic<std::int64_t> m_commits{0};
    std::atomic<std::int64_t> m_bytes{0};
};

} // namespace lavenderarch
