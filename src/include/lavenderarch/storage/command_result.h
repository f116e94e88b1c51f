// Result of one command sent to a worker.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// `accepted` is false for a stale command; `reason` then tells why.
struct CommandResult
{
    TaskId task;
    bool accepted = false;
    std::string reason;

    friend bool operator==(const CommandResult &, const CommandResult &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(CommandResult, task, accepted, reason)
};

} // namespace lavenderarch
