// An entry's reply to an announcement.
#pragma once

#include "lavenderarch/core/json_types.h"

#include <vector>

namespace lavenderarch {

/// `manifest` is the entry's document when its version is higher than the agent's, else empty.
/// `wantsManifest`: the agent's version is higher; it sends its document with the next
/// announcement. `entries`: addresses of all known entries, so that every agent finds an entry that
/// replaces another.
struct AnnounceReply
{
    std::int64_t manifestVersion = 0;
    std::string manifest;
    bool wantsManifest = false;
    std::vector<Address> entries;

    friend bool operator==(const AnnounceReply &, const AnnounceReply &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(AnnounceReply, manifestVersion, manifest, wantsManifest, entries)
};

} // namespace lavenderarch
