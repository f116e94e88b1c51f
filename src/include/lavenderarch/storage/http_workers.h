// Adapter for the HTTP interface of the workers.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/storage/worker_gateway.h"

namespace lavenderarch {

class HttpClient;

/// Thread-safe; does not own the client. Commands are idempotent and are resent when a pooled
/// connection turns out to be closed.
class HttpWorkers
{
public:
    HttpWorkers(HttpClient &client, Address address);

    StatusOr<std::vector<WorkerInfo>> list(TimePoint deadline);
    StatusOr<WorkerReport> report(const WorkerId &worker, TimePoint deadline);
    StatusOr<std::vector<CommandResult>>
    send(const WorkerId &worker, const std::vector<WorkerCommand> &commands, TimePoint deadline);

private:
    HttpClient &m_client;
    Address m_address;
};

static_assert(WorkerGateway<HttpWorkers>);

} // namespace lavenderarch
