// Exchanges manifest versions and announcements between entries.
#include "lavenderarch/api/peer_group.h"

#include "lavenderarch/core/clock.h"
#include "lavenderarch/telemetry/log.h"

namespace lavenderarch {
namespace {

constexpr Milliseconds exchangeTimeout{300};
constexpr Milliseconds peerRetention{5000};

} // namespace

PeerGroup::PeerGroup(Address self, const std::vector<Address> &peers, RpcChannel channel,
                     ManifestHolder &manifest, EndpointDirectory &directory)
    : m_self(std::move(self))
    , m_channel(channel)
    , m_manifest(manifest)
    , m_directory(directory)
{
    for (const Address &peer : peers) {
        if (peer != m_self)
            m_peers[peer].fromSettings = true;
    }
}

PeerExchange PeerGroup::makeExchange(std::int64_t peerVersion, bool complete) const
{
    PeerExchange message;
    message.sender = m_self;
    const auto manifest = m_manifest.current();
    message.manifestVersion = manifest->version();
    if (peerVersion < manifest->version())
        message.manifest = manifest->stored();
    message.complete = complete;
    if (complete)
        message.announcements = m_directory.all();
    message.entries = entries();
    return message;
}

void PeerGroup::applyExchange(const PeerExchange &message)
{
    const TimePoint now = SystemClock().now();
    const auto adopted = m_manifest.adoptStored(message.manifest);
    if (!adopted.ok())
        logFailure("peers", "rejected invalid manifest from a peer", adopted.status());
    for (const Announcement &announcement : message.announcements)
        m_directory.apply(announcement, now);
    const std::scoped_lock lock(m_mutex);
    Peer &sender = m_peers[message.sender];
    sender.contacted = true;
    sender.manifestVersion = message.manifestVersion;
    sender.lastHeardAt = now;
    for (const Address &entry : message.entries) {
        if (entry != m_self && m_peers.count(entry) == 0)
            m_peers[entry].lastHeardAt = now;
    }
}

StatusOr<PeerExchange> PeerGroup::handle(const PeerExchange &message)
{
    applyExchange(message);
    return makeExchange(message.manifestVersion, message.complete);
}

void PeerGroup::exchangeWithAll()
{
    std::map<Address, Peer> peers;
    {
        const std::scoped_lock lock(m_mutex);
        peers = m_peers;
    }
    for (const auto &[address, peer] : peers) {
        const TimePoint now = SystemClock().now();
        const PeerExchange message = makeExchange(peer.manifestVersion, !peer.contacted);
        const auto reply =
            m_channel.call<PeerExchange>(address, "exchange", message, now + exchangeTimeout);
        if (reply.ok()) {
            applyExchange(*reply);
            continue;
        }
        const std::scoped_lock lock(m_mutex);
        Peer &known = m_peers[address];
        known.contacted = false;
        if (!known.fromSettings && known.lastHeardAt + peerRetention <= now)
            m_peers.erase(address);
    }
}

std::vector<Address> PeerGroup::entries() const
{
    const TimePoint now = SystemClock().now();
    const std::scoped_lock lock(m_mutex);
    std::vector<Address> addresses{m_self};
    for (const auto &[address, peer] : m_peers) {
        if (peer.fromSettings || peer.lastHeardAt + peerRetention > now)
            addresses.push_back(address);
    }
    return addresses;
}

} // namespace lavenderarch
