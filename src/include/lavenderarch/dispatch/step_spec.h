// Requirements of one step of a job.
#pragma once

#include "lavenderarch/core/json_types.h"

#include <vector>

namespace lavenderarch {

/// Limit on each component of a step's demand and a minion's capacity, and on durations in
/// milliseconds (30 years): sums over all tasks and minions of a cell fit into 64 bits.
inline constexpr std::int64_t maxResourceAmount = 1'000'000'000'000;
inline constexpr std::int64_t maxDurationMs = 1'000'000'000'000;

/// Value type. Times in milliseconds. An empty text or a 0 means no requirement.
struct StepSpec
{
    int count = 1;               ///< number of tasks
    Resources demand;            ///< resources of each task
    std::int64_t estimateMs = 0; ///< declared run time of a task; often inaccurate
    std::vector<int> after;      ///< indices of earlier steps that must be done first
    bool checkpointing = false;  ///< the tasks save their progress
    bool gang = false;           ///< the tasks make progress only when all of them run together
    bool sameRack = false;       ///< the tasks are slower when spread over several racks
    std::string requiredLabel;   ///< label that the minion must have
    std::string preferredRack;   ///< label of the rack that holds the data
    int maxPerMinion = 0;        ///< tasks of the step on one minion; 0: no limit
    bool speculative = false;    ///< several runs of a task may run at once
    bool longRunning = false;    ///< runs until the job is cancelled
    std::string image;           ///< tasks of one image interfere with other tasks in the same way
    std::int64_t tailTargetMs = 0; ///< upper limit of the tail latency of a serving task
    bool bestEffort = false; ///< best-effort: uses only processors that other tasks leave idle
    int maxUnavailable = 0;  ///< tasks that the scheduler may make unavailable at once; 0: no limit

    friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

/// Every member has the key of its name, except that `bestEffort` has the key "fills". A missing
/// key takes the default of its member; a value of a wrong type throws Json::exception.
void to_json(Json &out, const StepSpec &step);
void from_json(const Json &in, StepSpec &step);

} // namespace lavenderarch
