// Membership and manifest data that entries exchange, as request and as reply.
#pragma once

#include "lavenderarch/protocol/announcement.h"

#include <vector>

namespace lavenderarch {

/// `announcements` holds those that changed since the last exchange with this peer, or all of them
/// when `complete`; `manifest` is sent only when the peer is known to have a lower version.
struct PeerExchange
{
    Address sender;
    std::int64_t manifestVersion = 0;
    std::string manifest;
    bool complete = false;
    std::vector<Announcement> announcements;
    std::vector<Address> entries;

    friend bool operator==(const PeerExchange &, const PeerExchange &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(PeerExchange, sender, manifestVersion, manifest, complete,
                                   announcements, entries)
};

} // namespace lavenderarch
