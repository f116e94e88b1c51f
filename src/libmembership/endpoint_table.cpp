// Ordering and expiry of announcements.
#include "lavenderarch/membership/endpoint_table.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr Milliseconds recordRetention{60'000};

} // namespace

const std::vector<Announcement> &EndpointList::of(const ServiceName &service) const
{
    static const std::vector<Announcement> none;
    const auto found = m_endpoints.find(service);
    return found == m_endpoints.end() ? none : found->second;
}

bool EndpointTable::isNewer(const Announcement &candidate, const Announcement &known)
{
    if (candidate.incarnation != known.incarnation)
        return candidate.incarnation > known.incarnation;
    return candidate.sequence > known.sequence;
}

bool EndpointTable::apply(const Announcement &announcement, TimePoint now)
{
    if (announcement.deadline <= now)
        return false;
    auto [position, inserted] = m_records.try_emplace(announcement.endpoint);
    Record &record = position->second;
    const Announcement previous = record.announcement;
    if (!inserted && !isNewer(announcement, previous))
        return false;
    const bool sameIncarnation = !inserted && previous.incarnation == announcement.incarnation;
    record.announcement = announcement;
    if (sameIncarnation)
        record.announcement.state = std::max(previous.state, announcement.state);
    const bool changed = !record.present || !sameIncarnation ||
                         previous.state != record.announcement.state ||
                         previous.address != announcement.address;
    record.present = record.announcement.state != EndpointState::Gone;
    record.removeAt = now + recordRetention;
    if (changed)
        m_serving.reset();
    return changed;
}

void EndpointTable::expire(TimePoint now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        Record &record = it->second;
        if (record.present && record.announcement.deadline <= now) {
            record.present = false;
            m_serving.reset();
        }
        it = !record.present && record.removeAt <= now ? m_records.erase(it) : std::next(it);
    }
}

std::shared_ptr<const EndpointList> EndpointTable::serving()
{
    if (m_serving == nullptr) {
        std::map<ServiceName, std::vector<Announcement>> lists;
        for (const auto &[id, record] : m_records) {
            if (record.present && record.announcement.state == EndpointState::Serving)
                lists[record.announcement.service].push_back(record.announcement);
        }
        m_serving = std::make_shared<const EndpointList>(std::move(lists));
    }
    return m_serving;
}

std::vector<Announcement> EndpointTable::all() const
{
    std::vector<Announcement> announcements;
    for (const auto &[id, record] : m_records) {
        if (record.present)
            announcements.push_back(record.announcement);
    }
    return announcements;
}

} // namespace lavenderarch
