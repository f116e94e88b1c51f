// Sends announcements to the entries and applies their replies.
#include "lavenderarch/api/announcer.h"

#include "lavenderarch/core/clock.h"
#include "lavenderarch/telemetry/log.h"

namespace lavenderarch {
namespace {

constexpr Milliseconds announceInterval{400};
constexpr Milliseconds announcementLifetime{1500};
constexpr Milliseconds announceTimeout{500};

} // namespace

Announcer::Announcer(std::function<Announcement()> makeAnnouncement, RpcChannel channel,
                     ManifestHolder &manifest, const std::vector<Address> &entries)
    : m_makeAnnouncement(std::move(makeAnnouncement))
    , m_channel(channel)
    , m_manifest(manifest)
{
    addEntries(entries);
}

Announcer::~Announcer()
{
    std::map<Address, std::unique_ptr<PeriodicTask>> tasks;
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        tasks.swap(m_tasks);
    }
}

void Announcer::addEntries(const std::vector<Address> &entries)
{
    const std::scoped_lock lock(m_mutex);
    if (m_stopping)
        return;
    for (const Address &entry : entries) {
        auto &task = m_tasks[entry];
        if (task == nullptr)
            task = std::make_unique<PeriodicTask>(announceInterval,
                                                  [this, entry] { announceTo(entry); });
    }
}

std::vector<Address> Announcer::knownEntries()
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Address> entries;
    for (const auto &[entry, task] : m_tasks)
        entries.push_back(entry);
    return entries;
}

void Announcer::wake()
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &[entry, task] : m_tasks)
        task->wake();
}

void Announcer::announceNow()
{
    for (const Address &entry : knownEntries())
        announceTo(entry);
}

void Announcer::announceTo(const Address &entry)
{
    AnnounceRequest request{m_makeAnnouncement(), ""};
    request.announcement.sequence = ++m_sequence;
    request.announcement.manifestVersion = m_manifest.version();
    const TimePoint now = SystemClock().now();
    request.announcement.deadline = now + announcementLifetime;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_manifestRequests.erase(entry) != 0)
            request.manifest = m_manifest.current()->stored();
    }
    const auto reply =
        m_channel.call<AnnounceReply>(entry, "announce", request, now + announceTimeout);
    if (!reply.ok())
        return;
    const auto adopted = m_manifest.adoptStored(reply->manifest);
    if (!adopted.ok())
        logFailure("announcer", "rejected invalid manifest from an entry", adopted.status());
    if (reply->wantsManifest) {
        const std::scoped_lock lock(m_mutex);
        m_manifestRequests.insert(entry);
        const auto task = m_tasks.find(entry);
        if (task != m_tasks.end())
            task->second->wake();
    }
    addEntries(reply->entries);
}

} // namespace lavenderarch
