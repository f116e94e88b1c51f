// What a worker reports about one task.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_enum.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

enum class TaskRunState { Running, Done, Failed, Stopped };

LAVENDER_JSON_ENUM(TaskRunState, {{TaskRunState::Running, "running"},
                                  {TaskRunState::Done, "done"},
                                  {TaskRunState::Failed, "failed"},
                                  {TaskRunState::Stopped, "stopped"}})

/// Value type. `slowdown` is the observed time per unit of work relative to running alone
/// (1 = none). `checkpoint` is the progress saved when a checkpoint stopped the task, else 0.
struct TaskReport
{
    TaskId task;
    std::int64_t incarnation = 0;
    TaskRunState state = TaskRunState::Running;
    Resources usage;
    double progress = 0;
    double slowdown = 1;
    double checkpoint = 0;

    friend bool operator==(const TaskReport &, const TaskReport &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(TaskReport, task, incarnation, state, usage, progress, slowdown,
                                   checkpoint)
};

} // namespace lavenderarch
