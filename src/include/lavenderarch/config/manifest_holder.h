// The manifest in force in this process.
#pragma once

#include "lavenderarch/config/manifest.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace lavenderarch {

/// Thread-safe. Accepts only a higher version, so that a process never reverts to an older
/// manifest.
class ManifestHolder
{
public:
    ManifestHolder();

    /// Puts `manifest` in force when its version is higher; returns whether it was.
    bool adopt(const Manifest &manifest);
    /// Same for the stored form; invalid text is an error.
    StatusOr<bool> adoptStored(const std::string &stored);

    /// The manifest in force; version 0 before the first one. Keep the pointer while using what it
    /// points to: another thread may put the next version in force at any time.
    std::shared_ptr<const Manifest> current() const;
    std::int64_t version() const { return m_version.load(); }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Manifest> m_current; // guarded by m_mutex; its version only increases
    std::atomic<std::int64_t> m_version{0};
};

} // namespace lavenderarch
