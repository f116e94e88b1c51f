// Object store over the HTTP interface of the platform. The wire format is documented in
// docs/PLATFORM.md.
#include "lavenderarch/storage/http_object_store.h"

#include "lavenderarch/http/percent_encode.h"
#include "platform_http.h"

namespace lavenderarch {

HttpObjectStore::HttpObjectStore(HttpClient &client, Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

StatusOr<std::string> HttpObjectStore::get(const std::string &name, TimePoint deadline)
{
    const HttpRequest request{"GET", "/v1/objects/" + percentEncode(name), "", {}, ""};
    auto response =
        exchangeWithPlatform(m_client, m_address, request, deadline, Resend::OnClosedConnection);
    if (!response.ok())
        return response.status();
    return std::move(response->body);
}

Status HttpObjectStore::put(const std::string &name, const std::string &bytes, TimePoint deadline)
{
    const HttpRequest request{"PUT", "/v1/objects/" + percentEncode(name), "", {}, bytes};
    return exchangeWithPlatform(m_client, m_address, request, deadline, Resend::OnClosedConnection)
        .status();
}

Status HttpObjectStore::remove(const std::string &name, TimePoint deadline)
{
    const HttpRequest request{"DELETE", "/v1/objects/" + percentEncode(name), "", {}, ""};
    return exchangeWithPlatform(m_client, m_address, request, deadline, Resend::OnClosedConnection)
        .status();
}

} // namespace lavenderarch
