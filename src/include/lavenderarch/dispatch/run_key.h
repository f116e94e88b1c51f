// Identifies one run of a task.
#pragma once

#include "lavenderarch/core/json.h"

#include <string>

namespace lavenderarch {

/// Value type. `number` counts the runs of the task from 1.
struct RunKey
{
    std::string task;
    int number = 0;

    friend auto operator<=>(const RunKey &,
                            const RunKey &) = default; // NOLINT(modernize-use-nullptr)
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(RunKey, task, number)
};

} // namespace lavenderarch
