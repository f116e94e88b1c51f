// Counts the tasks of a step.
#pragma once

#include "lavenderarch/dispatch/task_state.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace lavenderarch {

/// Number of the tasks in `tasks` that are to be placed.
inline int waitingTasks(const std::vector<TaskState> &tasks)
{
    return static_cast<int>(std::count_if(tasks.begin(), tasks.end(), [](const TaskState &task) {
        return task.phase == TaskPhase::Waiting;
    }));
}

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
