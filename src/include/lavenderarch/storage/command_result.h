// A worker's answer to one command.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// `accepted` is false for a stale command; `reason` then says why.
struct CommandResult
{
    TaskId task;
    bool accepted = false;
    std::string reason;

    friend bool operator==(const CommandResult &, const CommandResult &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(CommandResult, task, accepted, reason)
};

} // namespace lavenderarch
