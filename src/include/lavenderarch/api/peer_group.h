// The other entries of a deployment that an entry knows, and the exchange of state with them.
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
    /// Applies a peer's message and returns the reply to it.
    StatusOr<PeerExchange> handle(const PeerExchange &message);
    /// This entry, the peers named in the settings, and the peers heard of recently.
    std::vector<Address> entries() const;

private:
    struct Peer
    {
        bool fromSettings = false;
        bool contacted = false; ///< a message arrived since the last failed exchange
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
