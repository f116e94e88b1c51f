// Membership and manifest data that entries exchange, as request and as reply.
#pragma once

#include "lavenderarch/protocol/announcement.h"

#include <vector>

namespace lavenderarch {

/// `announcements` holds all announcements known to the sender when `complete`, else none.
/// `manifest` is empty when the version last received from the peer is not lower than the sender's.
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
