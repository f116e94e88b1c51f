// Scheduling decisions of a cell's owner: places runs, processes their ends and prepares commits.
#pragma once

#include "lavenderarch/dispatch/cell_commit.h"
#include "lavenderarch/dispatch/dispatch_event.h"
#include "lavenderarch/dispatch/dispatch_limits.h"
#include "lavenderarch/dispatch/early_cancellations.h"
#include "lavenderarch/dispatch/exchange_reply.h"
#include "lavenderarch/dispatch/exchange_request.h"
#include "lavenderarch/dispatch/failed_searches.h"
#include "lavenderarch/dispatch/job_model.h"
#include "lavenderarch/dispatch/minion_view.h"
#include "lavenderarch/dispatch/placement_counts.h"
#include "lavenderarch/dispatch/tail_model.h"
#include "lavenderarch/dispatch/upkeep_counts.h"
#include "lavenderarch/storage/row.h"

#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <set>

namespace lavenderarch {

struct QueueCatalog;

/// A state machine without sockets, threads or clocks. Not thread-safe.
///
/// The caller passes in rows, exchange requests and the time. The dispatcher returns commits and,
/// once a commit is stored, the orders and confirmations that depend on it. At most one commit is
/// in flight.
class CellDispatcher
{
public:
    CellDispatcher(std::string cell, DispatchLimits limits, std::int64_t epoch);

    /// Rebuilds the state from the rows of a cell that was taken over at `now`. Previous owners may
    /// have granted leases until then.
    void load(const std::vector<Row> &jobs, const std::vector<Row> &progress, BootTime now);
    /// Assumes that each minion holds a lease that started at `now`, since leases may have been
    /// granted between load() and then.
    void assumeLeases(BootTime now);
    /// Applies a new or changed row of the job table. Rows of the same job may come in any order.
    void applyJobRow(const Row &row, BootTime now);
    /// Restores the tail model that a previous owner stored.
    void loadTailModel(const std::string &text);
    void setCatalog(std::shared_ptr<const QueueCatalog> catalog);
    void setClosedDataCentres(std::set<std::string> dataCentres);
    /// All changes of the job table that were stored by `asOf` have been applied.
    void setInboxTime(BootTime asOf) { m_inboxTime = std::max(m_inboxTime, asOf); }
    /// All evacuations that were stored by `asOf` have been applied.
    void setEvacuationsTime(BootTime asOf)
    {
        m_evacuationsTime = std::max(m_evacuationsTime, asOf);
    }
    /// Time until which a task may start that is not cancelled and not in an evacuated data centre
    /// as far as the applied inputs show. BootTime::max() without limits.
    BootTime startBy() const;
    /// True if a task placed at `now` can be started in time.
    bool canStartInTime(BootTime now) const;

    /// False if the agent is not known and there are too many others. Forgets one that has never
    /// registered a minion, if that makes room.
    bool admitAgent(const std::string &agent);
    /// Processes an agent's message. If `mayGrant` and the minion is reachable, a lease is assumed
    /// to start at `now`.
    void handleRequest(const ExchangeRequest &request, BootTime now, bool mayGrant);
    /// Reply to a request that arrived at `arrived`: all orders that the agent has not confirmed,
    /// and a lease if the minion is reachable, which is counted from `arrived` at the earliest.
    /// Without `mayGrant`, or to a session that another one has replaced, it holds neither.
    ExchangeReply reply(const ExchangeRequest &request, BootTime arrived, bool mayGrant);
    /// The same for the current session of `agent`.
    ExchangeReply reply(const std::string &agent, BootTime arrived, bool mayGrant);
    /// True when a reply would have something that the agent should get without delay.
    bool hasOrders(const std::string &agent) const;
    /// Returns and clears the agents for which hasOrders() may have become true.
    std::set<std::string> takeAgentsToWake() { return std::exchange(m_agentsToWake, {}); }
    /// True while starts wait to be stored.
    bool hasStagedStarts() const;
    /// True while starts wait to be stored, or to be confirmed by an agent that was heard since
    /// `heardSince`.
    bool hasUndeliveredStarts(BootTime heardSince) const;

    /// Ends the runs of minions whose lease has lapsed, stops stalled and slowed runs, and creates
    /// due occurrences.
    void tick(BootTime now, std::int64_t timeOfDayMs);

    /// Places waiting tasks if `mayPlace` and returns the rows to store, or nothing if nothing
    /// changed or a commit is in flight.
    std::optional<CellCommit> prepareCommit(BootTime now, bool mayPlace = true);
    /// Called when the last prepared commit is stored. Releases its orders and confirmations.
    void commitApplied(BootTime now);

    /// True when prepareCommit() or takeEvents() may have a result.
    bool hasWork() const { return m_placementDue || !m_dirty.empty() || !m_events.empty(); }

    std::int64_t epoch() const { return m_epoch; }
    const std::map<std::string, JobModel> &jobs() const { return m_jobs; }
    /// Number of settled jobs that are kept. Those that were settled at load() are not in jobs().
    std::size_t settledJobs() const { return m_settledJobs.size(); }
    const std::map<std::string, MinionView> &minions() const { return m_minions; }
    const PlacementCounts &placementCounts() const { return m_placementCounts; }
    const UpkeepCounts &upkeepCounts() const { return m_upkeepCounts; }
    /// Returns and clears the decisions since the last call, for the log.
    std::vector<DispatchEvent> takeEvents();

private:
    /// Orders and confirmations that wait until the job's row is stored.
    struct Staged
    {
        std::vector<std::pair<std::string, RunOrder>> orders; // by agent
        std::vector<std::pair<std::string, std::int64_t>> ends;
        std::vector<std::pair<std::string, RunKey>> absent;
    };
    using Location = std::pair<JobModel *, TaskState *>;
    /// Order of placement: priority, remaining work, time of acceptance, id.
    using PlacementKey = std::tuple<int, std::int64_t, std::int64_t, std::string>;

    void addJob(const Row &row, BootTime now);
    void cancelJob(const std::string &id, BootTime now);
    void markDirty(JobModel &job);
    /// The job has reached a final phase.
    void removeUnfinished(const JobSpec &spec);
    /// A minion has started a task of the job.
    void begin(JobModel &job, BootTime now);
    void addPhaseWrite(CellCommit &commit, const JobModel &job);
    Location locate(const std::string &task);

    void beginSession(MinionView &view, const ExchangeRequest &request);
    bool updateFacts(MinionView &view, const ExchangeRequest &request, BootTime now);
    void resolvePreviousIncarnation(MinionView &view, BootTime now);
    void processEnds(MinionView &view, const ExchangeRequest &request, BootTime now);
    void processEnd(MinionView &view, const RunEnd &end, BootTime now);
    /// Confirms the end to the agent once the job is stored.
    void stageEnd(const std::string &job, const MinionView &view, const RunEnd &end);
    void processBrief(MinionView &view, const ExchangeRequest &request, BootTime now);
    void processReport(MinionView &view, const RunReport &report, BootTime now);
    void processUnexpected(MinionView &view, const RunReport &report, BootTime now);
    void reserveUnexpected(MinionView &view, const RunKey &run);
    void describe(MinionView &view, const RunKey &run);
    void processRuns(MinionView &view, const ExchangeRequest &request, BootTime now);
    void updateTailModel(MinionView &view, const ExchangeRequest &request, BootTime now);
    void moveSlowedRuns(MinionView &view, BootTime now);
    bool hasBetterMinion(const JobModel &job, const TaskName &name, const TaskState &task,
                         BootTime now);
    void stopMissingRuns(MinionView &view, const ExchangeRequest &request);
    /// Assumes that calls which were meant for a former incarnation of the minion may have given it
    /// the longest lease until now.
    void assumeStrayLease(MinionView &view, BootTime now) const;
    /// Calls assumeStrayLease() with the first message showing that the incarnation has answered.
    void noteAnswered(MinionView &view, const ExchangeRequest &request, BootTime now);
    void endLapsedLeases(BootTime now);
    void endLapsedRuns(MinionView &view, const std::string &reason, BootTime now);
    void finishRun(JobModel &job, TaskState &task, const RunEnd &end, BootTime now);
    void recordOutcome(MinionView &view, const JobModel &job, RunOutcome outcome, BootTime now);
    void advanceEndsSeen(MinionView &view);

    void attach(MinionView &view, const StepSpec &step, const RunKey &run);
    void detach(MinionView &view, const StepSpec &step, const RunKey &run);
    void sendStop(MinionView &view, const RunKey &run, std::int64_t &stopOrder);
    /// Orders a stop. The task stays active until its end is reported.
    void stop(MinionView &view, const RunKey &run, TaskState &task);
    void stopActive(JobModel &job);
    void send(MinionView &view, RunOrder order, std::int64_t &sequence);
    void confirmAbsent(MinionView &view, const RunKey &run);
    /// RunOrder::startWithinMs of a start in the reply to a request that arrived at `arrived`.
    std::int64_t startWithinMs(const MinionView &view, BootTime arrived) const;

    void stopStalledRuns(MinionView &view, BootTime now);
    void placeWaiting(BootTime now);
    void updateWaiting(JobModel &job);
    void updateOverdueTime(JobModel &job);
    int placeOverdue(int priority, BootTime now);
    int placeJob(JobModel &job, BootTime now, int budget);
    int placeStep(JobModel &job, JobModel::WaitingStep &waiting, BootTime now, int budget);
    int placeGang(JobModel &job, JobModel::WaitingStep &waiting, BootTime now);
    RunKey place(JobModel &job, const TaskName &name, MinionView &view, BootTime now);
    /// Logs that `runs` have been placed on the minion.
    void recordPlaced(const MinionView &view, const std::vector<RunKey> &runs, BootTime now);
    MinionView *selectMinion(const JobModel &job, const JobModel::WaitingStep &waiting,
                             const TaskState &task, BootTime now, bool idleJob = false,
                             bool remember = true);
    void roomGained(MinionView &view);
    void useNewHeadrooms(BootTime now);
    /// Measures how many processors long-running tasks may take so that short ones find room.
    void updateLongRunningLimit(BootTime now);
    bool mayRunLong(const StepSpec &step) const;
    std::int64_t waitingShortMilliCores() const;
    /// Keeps room free on minions for long-running tasks that have found none.
    void keepRoom(BootTime now);
    std::size_t keepRoomFor(const JobModel &job, const JobModel::WaitingStep &waiting, BootTime now,
                            std::size_t limit);
    /// Bounds the time for which soft constraints hold tasks back beside room.
    void boundSoftConstraints(BootTime now);
    void boundSoftConstraints(JobModel &job, JobModel::WaitingStep &waiting, BootTime now);
    /// Number of tasks of the step that the minions have room for, at most `limit`. Soft
    /// constraints do not count.
    int countSlots(const JobModel &job, const JobModel::WaitingStep &waiting, BootTime now,
                   int limit) const;
    /// What holds the step back, for the log: a soft constraint, or `none` if the step has room but
    /// was not searched for.
    std::string softConstraint(const JobModel &job, const StepSpec &step, BootTime now) const;
    /// No minion was found for a task of the step, or for all members of the gang.
    void searchFailed(JobModel::WaitingStep &waiting);
    void reportPlacement(BootTime now);
    void reportWaiting(BootTime now);
    void releaseStaged(const Staged &staged, BootTime now);
    void expireEndedJobs(BootTime now);
    void settle(const std::string &id, BootTime now);
    /// Keeps the id of a settled job until it expires. False when it was known already.
    bool keepSettled(const std::string &id, BootTime now);
    bool shrinkDue(BootTime now) const;
    /// Adds writes that remove the specifications of settled jobs, which make a takeover read much.
    void addShrunkRows(CellCommit &commit, BootTime now);
    void recordEvent(std::string message, std::vector<std::pair<std::string, std::string>> fields);

    std::string m_cell;
    DispatchLimits m_limits;
    std::int64_t m_epoch;
    std::shared_ptr<const QueueCatalog> m_catalog;
    std::set<std::string> m_closedDataCentres;
    BootTime m_inboxTime{};
    BootTime m_evacuationsTime{};
    std::map<std::string, JobModel> m_jobs;
    std::map<std::string, MinionView> m_minions; // by agent
    /// Others may have granted leases to any minion that started until then.
    BootTime m_assumedLeaseStart{};
    std::set<std::string> m_agentsToWake;
    /// Jobs that have not reached a final phase, by (priority, time of acceptance, id).
    std::set<std::tuple<int, std::int64_t, std::string>> m_unfinishedJobs;
    std::set<std::string> m_recurringJobs;             // unfinished jobs with occurrences
    std::map<PlacementKey, JobModel *> m_waitingJobs;  // unfinished jobs with tasks to place
    std::map<PlacementKey, JobModel *> m_untriedJobs;  // those that changed since the last pass
    std::map<std::string, PlacementKey> m_waitingKeys; // keys in m_waitingJobs, by job
    /// Unfinished jobs with an objective, by (priority, time when they are overdue, id). Some have
    /// become final since.
    std::set<std::tuple<int, BootTime, std::string>> m_overdueTimes;
    FailedSearches m_failedSearches;
    std::set<std::string> m_keptRoomJobs; // jobs with kept room, as of keepRoom()
    // Thousandths of a core: what short tasks have needed at most in the last seconds, what
    // long-running tasks reserve, and what they may reserve.
    std::int64_t m_shortMilliCores = 0;
    std::int64_t m_longRunningMilliCores = 0;
    std::int64_t m_longRunningLimit = std::numeric_limits<std::int64_t>::max();
    bool m_longRunningHeldBack = false;             // by the limit, since it was updated
    std::string m_searchFrom;                       // agent with which the next search begins
    std::int64_t m_roomVersion = 1;                 // increases when a minion gains room
    std::int64_t m_triedRoomVersion = 0;            // in which all of m_waitingJobs have been tried
    BootTime m_nextHeadrooms{};                     // earliest time of the next use of headrooms
    std::int64_t m_triedObservations = 0;           // observations of m_tailModel at that time
    std::vector<std::string> m_dirty;               // jobs to store, oldest change first
    std::set<std::string> m_dirtySet;               // the same jobs
    std::set<std::string> m_begunJobs;              // jobs whose phase is to be stored
    BootTime m_begunStoreAt{};                      // latest time to store m_begunJobs
    std::map<std::string, Staged> m_staged;         // by job
    std::map<std::string, JobPhase> m_storedPhases; // phase in the state row; absent: Queued
    std::set<std::string> m_settledJobs;
    EarlyCancellations m_earlyCancellations; // of jobs neither in m_jobs nor in m_settledJobs
    /// When each of m_settledJobs expires, earliest first.
    std::deque<std::pair<BootTime, std::string>> m_expiries;
    std::deque<std::string> m_unshrunkJobs; // settled jobs with a stored specification
    BootTime m_nextShrink{};                // earliest time of the next writes of them
    std::vector<std::string> m_expiredJobs; // jobs whose rows are to be deleted
    std::optional<std::vector<Staged>> m_inFlight;
    TailModel m_tailModel;
    std::int64_t m_storedObservations = 0; // observations in the stored model
    BootTime m_nextModelStore{};           // earliest time of the next write of the model
    std::vector<DispatchEvent> m_events;
    PlacementCounts m_placementCounts;
    UpkeepCounts m_upkeepCounts;
    PlacementCounts m_reportedCounts; // as of the last report in the log
    BootTime m_nextReport{};          // earliest time of the next report
    bool m_placementDue = true;       // a change may allow a waiting task to be placed
};

} // namespace lavenderarch
