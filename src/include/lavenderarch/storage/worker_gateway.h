// The WorkerGateway concept: interface to the workers of the platform.
#pragma once

#include "lavenderarch/core/status.h"
#include "lavenderarch/storage/command_result.h"
#include "lavenderarch/storage/worker_command.h"
#include "lavenderarch/storage/worker_info.h"
#include "lavenderarch/storage/worker_report.h"

#include <concepts>
#include <vector>

namespace lavenderarch {

/// list: all workers of the platform. report: the newest report of one worker. send: delivers
/// commands in order; on an error, any prefix of them may have been accepted.
template <typename T>
concept WorkerGateway = requires(T gateway, const WorkerId &worker,
                                 const std::vector<WorkerCommand> &commands, TimePoint deadline)
{
    {
        gateway.list(deadline)
        } -> std::same_as<StatusOr<std::vector<WorkerInfo>>>;
    {
        gateway.report(worker, deadline)
        } -> std::same_as<StatusOr<WorkerReport>>;
    {
        gateway.send(worker, commands, deadline)
        } -> std::same_as<StatusOr<std::vector<CommandResult>>>;
};

} // namespace lavenderarch
