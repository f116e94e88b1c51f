// Adapter for the HTTP interface of the object store.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/storage/object_store.h"

namespace lavenderarch {

class HttpClient;

/// Thread-safe; does not own the client.
class HttpObjectStore
{
public:
    HttpObjectStore(HttpClient &client, Address address);

    StatusOr<std::string> get(const std::string &name, TimePoint deadline);
    Status put(const std::string &name, const std::string &bytes, TimePoint deadline);
    Status remove(const std::string &name, TimePoint deadline);

private:
    HttpClient &m_client;
    Address m_address;
};

static_assert(ObjectStore<HttpObjectStore>);

} // namespace lavenderarch
