// Immutable snapshot of the serving endpoints of every service.
#pragma once

#include "lavenderarch/protocol/announcement.h"

#include <map>
#include <vector>

namespace lavenderarch {

/// Endpoints that accept new requests, by service. Safe to share between threads as a const object.
class EndpointList
{
public:
    EndpointList() = default;
    explicit EndpointList(std::map<ServiceName, std::vector<Announcement>> endpoints)
        : m_endpoints(std::move(endpoints))
    {
    }

    /// Endpoints of `service`; empty when there are none.
    const std::vector<Announcement> &of(const ServiceName &service) const;

private:
    std::map<ServiceName, std::vector<Announcement>> m_endpoints;
};

} // namespace lavenderarch
