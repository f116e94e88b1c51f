// Steps of the jobs that tests submit to a LoadedCell.
#pragma once

#include "lavenderarch/dispatch/step_spec.h"

namespace lavenderarch::testing {

inline StepSpec shortTasks(std::int64_t milliCores, int count = 1)
{
    StepSpec step;
    step.count = count;
    step.demand = Resources(milliCores, 1000, 0);
    step.estimateMs = 600;
    return step;
}

inline StepSpec longTasks(std::int64_t milliCores, int count = 1)
{
    StepSpec step = shortTasks(milliCores, count);
    step.longRunning = true;
    return step;
}

inline StepSpec bestEffortTasks(std::int64_t milliCores, int count = 1)
{
    StepSpec step = shortTasks(milliCores, count);
    step.bestEffort = true;
    return step;
}

} // namespace lavenderarch::testing
