// Known endpoints, built from their announcements. Does no I/O and reads no clock.
#pragma once

#include "lavenderarch/membership/endpoint_list.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lavenderarch {

/// Accepts announcements in any order, duplicate or late, and keeps the newest of each endpoint.
/// Not thread-safe; the list that serving() returns is immutable and may be shared.
///
///     EndpointTable table;
///     table.apply(announcement, now);
///     table.expire(now);
///     for (const Announcement &endpoint : table.serving()->of(service)) ...
class EndpointTable
{
public:
    /// Applies `announcement` if it is newer than the known one and has not expired.
    /// Returns true when the endpoint is new or its state, address or incarnation changed.
    bool apply(const Announcement &announcement, TimePoint now);

    /// Removes endpoints whose announcement has expired.
    void expire(TimePoint now);

    /// Endpoints in state Serving. The list is rebuilt only after an endpoint changed or expired.
    std::shared_ptr<const EndpointList> serving();

    /// Every endpoint known, with its newest announcement.
    std::vector<Announcement> all() const;

private:
    struct Record
    {
        Announcement announcement;
        bool present = false;
        /// A record is kept longer than its announcement, so that a late older announcement is not
        /// mistaken for that of a new endpoint.
        TimePoint removeAt;
    };

    static bool isNewer(const Announcement &candidate, const Announcement &known);

    // Invariant: within one incarnation the state of a record never moves backwards.
    std::map<EndpointId, Record> m_records;
    std::shared_ptr<const EndpointList> m_serving;
};

} // namespace lavenderarch
