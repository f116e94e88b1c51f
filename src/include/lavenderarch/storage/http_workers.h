// Adapter to the workers' HTTP interface.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/storage/worker_gateway.h"

namespace lavenderarch {

class HttpClient;

/// Thread-safe; does not own the client. Commands are idempotent, so they may be sent twice.
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
