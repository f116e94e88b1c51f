// The owner's view of one agent and its minion.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/filling_run.h"
#include "lavenderarch/dispatch/minion_facts.h"
#include "lavenderarch/dispatch/run_order.h"
#include "lavenderarch/dispatch/serving_run.h"

#include <deque>
#include <map>
#include <set>

namespace lavenderarch {

/// Not thread-safe. A view without facts stands for a minion that a former owner used and that
/// has not reported yet.
struct MinionView
{
    std::string agent;
    std::string session;
    bool registered = false;
    bool reachable = false; ///< the agent's last call to the minion was answered
    MinionFacts facts;
    BootTime lastHeard{};  ///< newest message of the agent
    BootTime leaseStart{}; ///< start of the newest lease that may be in force

    std::int64_t newestMessage = 0;
    std::int64_t nextOrder = 1;
    std::deque<RunOrder> outbox;                ///< orders that the agent has not confirmed
    std::set<RunKey> runs;                      ///< runs of Placed and Stopping tasks here
    std::map<RunKey, Resources> unexpectedRuns; ///< reported runs that the model does not expect
    std::set<RunKey> unexpectedStopped;         ///< those of them for which a stop was ordered

    std::int64_t endsSeen = 0;         ///< all ends up to here are stored
    std::map<std::int64_t, bool> ends; ///< ends above endsSeen: whether they are stored
    std::vector<RunKey> absentSeen;    ///< stored Absent ends to confirm with the next answer

    Resources used;                       ///< demand of `runs` that counts against capacity
    std::map<RunKey, ServingRun> serving; ///< the runs with a tail target
    std::map<RunKey, FillingRun> fills;   ///< the runs that fill
    bool tailTargetExceeded = false;      ///< some serving run is over its target
    BootTime nextObservation{};           ///< when the tails are looked at again
    bool weightsDue = false;              ///< the agent is to be told the weights of its images

    std::map<std::string, BootTime> failedJobs; ///< jobs that lately failed here
    BootTime avoidUntil{};
    std::int64_t avoidMs = 0;
};

} // namespace lavenderarch
