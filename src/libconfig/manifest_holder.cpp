// Replacement of the manifest in force by a higher version.
#include "lavenderarch/config/manifest_holder.h"

namespace lavenderarch {

ManifestHolder::ManifestHolder()
    : m_current(std::make_shared<const Manifest>())
{
}

bool ManifestHolder::adopt(const Manifest &manifest)
{
    const std::scoped_lock lock(m_mutex);
    if (manifest.version() <= m_current->version())
        return false;
    m_current = std::make_shared<const Manifest>(manifest);
    m_version = manifest.version();
    return true;
}

StatusOr<bool> ManifestHolder::adoptStored(const std::string &stored)
{
    const auto manifest = Manifest::fromStored(stored);
    if (!manifest.ok())
        return manifest.status();
    return adopt(*manifest);
}

std::shared_ptr<const Manifest> ManifestHolder::current() const
{
    const std::scoped_lock lock(m_mutex);
    return m_current;
}

} // namespace lavenderarch
