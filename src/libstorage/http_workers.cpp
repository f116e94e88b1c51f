// Worker gateway over the HTTP interface of the platform. The wire format is documented in
// docs/PLATFORM.md.
#include "lavenderarch/storage/http_workers.h"

#include "lavenderarch/http/http_client.h"
#include "platform_http.h"

namespace lavenderarch {

HttpWorkers::HttpWorkers(HttpClient &client, Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

StatusOr<std::vector<WorkerInfo>> HttpWorkers::list(TimePoint deadline)
{
    const HttpRequest request{"GET", "/v1/workers", "", {}, ""};
    const auto response =
        exchangeWithPlatform(m_client, m_address, request, deadline, Resend::OnClosedConnection);
    if (!response.ok())
        return response.status();
    return parseAs<std::vector<WorkerInfo>>(response->body, "worker list");
}

StatusOr<WorkerReport> HttpWorkers::report(const WorkerId &worker, TimePoint deadline)
{
    const HttpRequest request{"GET", "/v1/workers/" + worker.text() + "/report", "", {}, ""};
    const auto response =
        exchangeWithPlatform(m_client, m_address, request, deadline, Resend::OnClosedConnection);
    if (!response.ok())
        return response.status();
    return parseAs<WorkerReport>(response->body, "worker report");
}

StatusOr<std::vector<CommandResult>> HttpWorkers::send(const WorkerId &worker,
                                                       const std::vector<WorkerCommand> &commands,
                                                       TimePoint deadline)
{
    const HttpRequest request{
        "POST", "/v1/workers/" + worker.text() + "/commands", "", {}, jsonText(commands)};
    const auto response =
        exchangeWithPlatform(m_client, m_address, request, deadline, Resend::OnClosedConnection);
    if (!response.ok())
        return response.status();
    return parseAs<std::vector<CommandResult>>(response->body, "command results");
}

} // namespace lavenderarch
