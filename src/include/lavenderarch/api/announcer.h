// Announces an agent's endpoint to every entry.
#pragma once

#include "lavenderarch/api/periodic_task.h"
#include "lavenderarch/config/manifest_holder.h"
#include "lavenderarch/protocol/announce_reply.h"
#include "lavenderarch/protocol/announce_request.h"
#include "lavenderarch/protocol/rpc_channel.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace lavenderarch {

/// Thread-safe. Uses one thread per entry, so that an entry that hangs does not delay the others.
/// Entries come from the settings and from the replies. Lock order: m_mutex before the locks of the
/// periodic tasks.
class Announcer
{
public:
    /// `makeAnnouncement` fills the announcement except for sequence, version and deadline.
    Announcer(std::function<Announcement()> makeAnnouncement, RpcChannel channel,
              ManifestHolder &manifest, const std::vector<Address> &entries);
    ~Announcer();

    /// Starts announcing to those of `entries` that are not known yet.
    void addEntries(const std::vector<Address> &entries);
    /// Announces to all entries at once, on the announcing threads; does not block.
    void wake();
    /// Announces to all entries, one after the other, on the calling thread, and waits for each
    /// response.
    void announceNow();

private:
    void announceTo(const Address &entry);
    std::vector<Address> knownEntries();

    std::function<Announcement()> m_makeAnnouncement;
    RpcChannel m_channel;
    ManifestHolder &m_manifest;
    std::atomic<std::int64_t> m_sequence{0};
    std::mutex m_mutex;
    bool m_stopping = false; // guarded by m_mutex
    /// Entries that asked for the manifest in their last reply.
    std::set<Address> m_manifestRequests;                     // guarded by m_mutex
    std::map<Address, std::unique_ptr<PeriodicTask>> m_tasks; // guarded by m_mutex
};

} // namespace lavenderarch
