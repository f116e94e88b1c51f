// Commands for one worker.
#pragma once

#include "lavenderarch/storage/worker_command.h"

#include <vector>

namespace lavenderarch {

struct WorkerCommands
{
    WorkerId worker;
    std::vector<WorkerCommand> commands;

    friend bool operator==(const WorkerCommands &, const WorkerCommands &) = default;
};

} // namespace lavenderarch
