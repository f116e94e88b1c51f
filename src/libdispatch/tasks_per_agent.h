// Counts the active tasks of a step on each minion.
#pragma once

#include "lavenderarch/dispatch/task_state.h"

#include <map>
#include <string>
#include <vector>

namespace lavenderarch {

/// Number of the tasks in `tasks` that are placed or being stopped, by agent.
inline std::map<std::string, int> tasksPerAgent(const std::vector<TaskState> &tasks)
{
    std::map<std::string, int> counts;
    for (const TaskState &task : tasks) {
        if (task.active())
            ++counts[task.agent];
    }
    return counts;
}

} // namespace lavenderarch
