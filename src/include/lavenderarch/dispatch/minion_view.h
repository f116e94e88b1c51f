// State that a cell's owner keeps about one agent and its minion.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/best_effort_run.h"
#include "lavenderarch/dispatch/minion_facts.h"
#include "lavenderarch/dispatch/run_order.h"
#include "lavenderarch/dispatch/serving_run.h"
#include "lavenderarch/dispatch/tail_model.h"

#include <deque>
#include <map>
#include <set>

namespace lavenderarch {

/// Not thread-safe. A view without facts represents a minion that has runs from a previous owner
/// and has not reported yet.
struct MinionView
{
    std::string agent;
    std::string session;
    bool registered = false;
    bool reachable = false; ///< the minion answered the agent's last request
    MinionFacts facts;
    BootTime lastHeard{};  ///< time of the agent's newest message
    BootTime leaseStart{}; ///< start of the newest lease that this owner has granted
    /// Until then a lease may be in force that was meant for a former incarnation of the minion.
    BootTime strayLeaseUntil{};
    bool incarnationAnswered = false; ///< the incarnation in `facts` has answered its agent

    std::int64_t newestMessage = 0;
    std::int64_t snapshot = 0; ///< newest snapshot of this session and minion; 0: none applied
    bool snapshotDue = false;  ///< the next reply asks for a snapshot
    /// Rises over all sessions, as a former one may come back with a late message.
    std::int64_t nextOrder = 1;
    std::deque<RunOrder> outbox; ///< orders that the agent has not confirmed
    std::set<RunKey> runs;       ///< runs of Placed and Stopping tasks on the minion
    /// Reported runs not in `runs`, with what they reserve.
    std::map<RunKey, Resources> unexpectedRuns;
    std::set<RunKey> unexpectedStopped; ///< unexpected runs for which a stop was ordered

    std::int64_t endsSeen = 0;         ///< all ends up to this number are stored
    std::map<std::int64_t, bool> ends; ///< ends above endsSeen: whether they are stored
    std::vector<RunKey> absentSeen;    ///< stored Absent ends to confirm with the next reply

    Resources used;              ///< demand of `runs` that counts against the capacity
    Resources usedByLongRunning; ///< the part of `used` that does not end by itself
    /// Room that is kept free for a long-running task of the job `keptForJob`; none if that is
    /// empty.
    Resources keptRoom;
    std::string keptForJob;
    std::map<RunKey, ServingRun> serving;       ///< runs with a tail latency target
    std::map<RunKey, BestEffortRun> bestEffort; ///< best-effort runs
    /// Shares of the processors that `bestEffort` would use at full pace, by image.
    BestEffortShares fullPaceShares;
    std::int64_t bestEffortMilliCores = 0; ///< thousandths of a core that they would use then
    /// Versions of the room (see FailedSearches) when the minion last gained room for all tasks,
    /// and headroom for best-effort tasks.
    std::int64_t roomVersion = 0;
    std::int64_t headroomVersion = 0;
    bool headroomGained = false;     ///< since headroomVersion was set
    bool tailTargetExceeded = false; ///< a serving run exceeds its tail latency target
    BootTime nextObservation{};      ///< earliest time of the next model update
    BootTime nextStallCheck{};       ///< no run counts as stalled before this time
    BootTime nextSlowCheck{};        ///< no slowed run is to be moved before this time
    bool weightsDue = false;         ///< the next reply carries weights of the tail model

    /// The minion gets no run until then, as a start was refused there for want of room; unset:
    /// none was.
    BootTime noRoomUntil{};
    std::map<std::string, BootTime> failedJobs; ///< time of the last recent failure here, by job
    BootTime avoidUntil{};                      ///< placement prefers other minions until then
    std::int64_t avoidMs = 0; ///< length of the newest such period; 0 after a success
};

} // namespace lavenderarch
