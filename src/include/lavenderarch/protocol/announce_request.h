// Announcement of an agent, with its manifest when the entry asked for it.
#pragma once

#include "lavenderarch/protocol/announcement.h"

namespace lavenderarch {

/// `manifest` carries the agent's manifest document only when the entry asked for it.
struct AnnounceRequest
{
    Announcement announcement;
    std::string manifest;

    friend bool operator==(const AnnounceRequest &, const AnnounceRequest &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(AnnounceRequest, announcement, manifest)
};

} // namespace lavenderarch
