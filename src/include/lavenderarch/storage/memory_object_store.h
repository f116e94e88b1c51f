// In-memory object store, used by lavender-standin and by unit tests.
#pragma once

#include "lavenderarch/storage/object_store.h"

#include <map>
#include <mutex>

namespace lavenderarch {

/// Thread-safe.
class MemoryObjectStore
{
public:
    StatusOr<std::string> get(const std::string &name, TimePoint deadline);
    Status put(const std::string &name, const std::string &bytes, TimePoint deadline);
    Status remove(const std::string &name, TimePoint deadline);

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_objects; // guarded by m_mutex
};

static_assert(ObjectStore<MemoryObjectStore>);

} // namespace lavenderarch
