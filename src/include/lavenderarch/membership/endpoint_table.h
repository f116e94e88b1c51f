// Which endpoints exist, from their own announcements. Pure state machine.
#pragma once

#include "lavenderarch/membership/endpoint_list.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lavenderarch {

/// Takes announcements in any order, doubled or late, and keeps the newest of each endpoint.
/// Not thread-safe; the list it hands out is immutable and may be shared.
///
///     EndpointTable table;
///     table.apply(announcement, now);
///     table.expire(now);
///     for (const Announcement &endpoint : table.serving()->of(service)) ...
class EndpointTable
{
public:
    /// Takes `announcement` if it is newer than what is known and not void yet.
    /// Returns true when the endpoint is new, changed state or came with a new incarnation.
    bool apply(const Announcement &announcement, TimePoint now);

    /// Removes endpoints whose announcement is void.
    void expire(TimePoint now);

    /// Endpoints in state Serving. Rebuilt only after a change of membership.
    std::shared_ptr<const EndpointList> serving();

    /// Every endpoint known, with its newest announcement.
    std::vector<Announcement> all() const;

private:
    struct Record
    {
        Announcement announcement;
        bool present = false;
        /// A record outlives its announcement, so that a late older one is not taken for new.
        TimePoint removeAt;
    };

    static bool isNewer(const Announcement &candidate, const Announcement &known);

    // Invariant: within one incarnation the state of a record never moves backwards.
    std::map<EndpointId, Record> m_records;
    std::shared_ptr<const EndpointList> m_serving;
};

} // namespace lavenderarch
