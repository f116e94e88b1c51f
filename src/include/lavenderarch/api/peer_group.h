// The entries of a deployment as one of them knows the others.
#pragma once

#include "lavenderarch/api/endpoint_directory.h"
#include "lavenderarch/config/manifest_holder.h"
#include "lavenderarch/protocol/peer_exchange.h"
#include "lavenderarch/protocol/rpc_channel.h"

#include <map>
#include <mutex>

namespace lavenderarch {

/// Thread-safe. Exchanges manifest versions and, on first contact, all announcements, so that a
/// replaced entry finds the endpoints and the manifest while the table service is down.
class PeerGroup
{
public:
    PeerGroup(Address self, const std::vector<Address> &peers, RpcChannel channel,
              ManifestHolder &manifest, EndpointDirectory &directory);

    /// Exchanges with every known peer once.
    void exchangeWithAll();
    /// Handles a peer's exchange.
    StatusOr<PeerExchange> handle(const PeerExchange &message);
    /// This entry and the peers heard of lately or named in the settings.
    std::vector<Address> entries() const;

private:
    struct Peer
    {
        bool fromSettings = false;
        bool contacted = false;
        std::int64_t manifestVersion = 0;
        TimePoint lastHeardAt;
    };

    PeerExchange makeExchange(std::int64_t peerVersion, bool complete) const;
    void applyExchange(const PeerExchange &message);

    Address m_self;
    RpcChannel m_channel;
    ManifestHolder &m_manifest;
    EndpointDirectory &m_directory;
    mutable std::mutex m_mutex;
    std::map<Address, Peer> m_peers; // guarded by m_mutex
};

} // namespace lavenderarch
