// Table service over the HTTP interface of the platform. The wire format is documented in
// docs/PLATFORM.md.
#include "lavenderarch/storage/http_table.h"

#include "lavenderarch/http/http_client.h"
#include "lavenderarch/http/percent_encode.h"
#include "platform_http.h"

namespace lavenderarch {

HttpTable::HttpTable(HttpClient &client, Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

StatusOr<TableRow> HttpTable::read(const std::string &key, TimePoint deadline)
{
    const HttpRequest request{"GET", "/v1/table/row", "key=" + percentEncode(key), {}, ""};
    const auto response =
        exchangeWithPlatform(m_client, m_address, request, deadline, Resend::OnClosedConnection);
    if (!response.ok())
        return makeError(ErrorKind::StoreUnavailable, messageOf(response.status()));
    return parseAs<TableRow>(response->body, "table row");
}

StatusOr<std::vector<TableRow>> HttpTable::scan(const std::string &prefix, TimePoint deadline)
{
    const HttpRequest request{"GET", "/v1/table/rows", "prefix=" + percentEncode(prefix), {}, ""};
    const auto response =
        exchangeWithPlatform(m_client, m_address, request, deadline, Resend::OnClosedConnection);
    if (!response.ok())
        return makeError(ErrorKind::StoreUnavailable, messageOf(response.status()));
    return parseAs<std::vector<TableRow>>(response->body, "table rows");
}

StatusOr<CommitResult> HttpTable::commit(const TableTransaction &change, TimePoint deadline)
{
    const HttpRequest request{"POST", "/v1/table/commit", "", {}, jsonText(change)};
    const auto response =
        exchangeWithPlatform(m_client, m_address, request, deadline, Resend::Never);
    if (!response.ok())
        return response.status();
    return parseAs<CommitResult>(response->body, "commit result");
}

} // namespace lavenderarch
