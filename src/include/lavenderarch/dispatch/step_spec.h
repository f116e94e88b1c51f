// What a job asks for one of its steps.
#pragma once

#include "lavenderarch/core/json_types.h"

#include <vector>

namespace lavenderarch {

/// Value type. Times in milliseconds. A text that is empty and a number that is 0 ask for nothing.
struct StepSpec
{
    int count = 1;                 ///< number of tasks
    Resources demand;              ///< of each task
    std::int64_t estimateMs = 0;   ///< declared run time; often far off
    std::vector<int> after;        ///< steps that must be done first
    bool checkpointing = false;    ///< its tasks save their progress
    bool gang = false;             ///< the tasks work only when all of one run are present
    bool sameRack = false;         ///< slower when spread over racks
    std::string requiredLabel;     ///< label that the minion must have
    std::string preferredRack;     ///< rack of the data
    int maxPerMinion = 0;          ///< tasks of the step on one minion; 0: no limit
    bool speculative = false;      ///< several runs of a task may run at once
    bool longRunning = false;      ///< runs until the job is cancelled
    std::string image;             ///< tasks of one image behave alike
    std::int64_t tailTargetMs = 0; ///< bound of the tail latency of a task that serves
    bool fills = false;            ///< uses only processors that other tasks leave
    int maxUnavailable = 0;        ///< tasks that may be away at once by our doing; 0: no limit

    friend bool operator==(const StepSpec &, const StepSpec &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(StepSpec, count, demand, estimateMs, after,
                                                checkpointing, gang, sameRack, requiredLabel,
                                                preferredRack, maxPerMinion, speculative,
                                                longRunning, image, tailTargetMs, fills,
                                                maxUnavailable)
};

} // namespace lavenderarch
