// In-memory object store.
#include "lavenderarch/storage/memory_object_store.h"

namespace lavenderarch {

StatusOr<std::string> MemoryObjectStore::get(const std::string &name, TimePoint)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return makeError(ErrorKind::NotFound, "no object '" + name + "'");
    return found->second;
}

Status MemoryObjectStore::put(const std::string &name, const std::string &bytes, TimePoint)
{
    const std::scoped_lock lock(m_mutex);
    m_objects[name] = bytes;
    return absl::OkStatus();
}

Status MemoryObjectStore::remove(const std::string &name, TimePoint)
{
    const std::scoped_lock lock(m_mutex);
    m_objects.erase(name);
    return absl::OkStatus();
}

} // namespace lavenderarch
