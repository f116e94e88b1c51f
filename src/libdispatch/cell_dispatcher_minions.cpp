// Handling of agent messages: minion facts, run ends and run reports.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "lapse_time.h"
#include "placement.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Time that a start needs from its placement: the commit, the agent's poll and the call of the
/// minion.
constexpr Milliseconds minStartTime{500};
/// A minion is suspect once this many jobs have failed on it. Each success in between removes the
/// job with the oldest failure from the count.
constexpr std::size_t suspectJobs = 2;
/// A failure no longer counts after this time.
constexpr Milliseconds failureWindow{6000};
/// Upper bound of the time for which a suspect minion is avoided. The time doubles on
/// each renewed suspicion.
constexpr std::int64_t maxAvoidMs = 12'000;
/// Time for which a minion gets no run after a start was refused there for want of room: the agent
/// knows of runs that this owner does not, and its next messages tell of them.
constexpr Milliseconds noRoomPause{500};

} // namespace

bool CellDispatcher::admitAgent(const std::string &agent)
{
    if (m_minions.count(agent) != 0 || m_minions.size() < m_limits.maxAgents)
        return true;
    // A view that was never sent an order and has no runs holds nothing that must be remembered.
    const auto unused = std::find_if(m_minions.begin(), m_minions.end(), [](const auto &entry) {
        const MinionView &view = entry.second;
        return !view.registered && view.nextOrder == 1 && view.runs.empty() &&
               view.unexpectedRuns.empty();
    });
    if (unused == m_minions.end())
        return false;
    m_agentsToWake.erase(unused->first);
    m_minions.erase(unused);
    return true;
}

void CellDispatcher::handleRequest(const ExchangeRequest &request, BootTime now, bool mayGrant)
{
    MinionView &view = m_minions[request.agent];
    view.agent = request.agent;
    if (view.session != request.session)
        beginSession(view, request);
    if (request.number <= view.newestMessage)
        return;
    view.newestMessage = request.number;
    const bool returned = !isFresh(view, now) || view.reachable != request.reachable;
    view.lastHeard = now;
    // reply() grants no lease while the minion does not answer its agent, so that the leases of its
    // runs lapse.
    if (mayGrant && request.reachable)
        view.leaseStart = now;
    const bool sameEpoch = request.epoch == m_epoch;
    while (sameEpoch && !view.outbox.empty() && view.outbox.front().sequence <= request.orderSeen)
        view.outbox.pop_front();
    if (returned)
        roomGained(view);
    view.reachable = request.reachable;
    if (request.brief) {
        processBrief(view, request, now);
        return;
    }
    view.snapshot = 0;
    if (!request.registered) {
        view.registered = false;
        return;
    }
    if (!updateFacts(view, request, now))
        return;
    noteAnswered(view, request, now);
    processEnds(view, request, now);
    if (request.listed && sameEpoch) {
        view.snapshot = request.number;
        processRuns(view, request, now);
        return;
    }
    // What a former owner's list shows may still run.
    for (const RunReport &report : request.runs) {
        if (view.runs.count(report.run) == 0)
            reserveUnexpected(view, report.run);
        else if (report.undescribed)
            describe(view, report.run);
    }
}

void CellDispatcher::processBrief(MinionView &view, const ExchangeRequest &request, BootTime now)
{
    // The snapshot may have been lost, overtaken by this message or sent to a previous owner.
    if (request.epoch != m_epoch || view.snapshot == 0 || view.snapshot != request.snapshot ||
        view.facts.incarnation != request.incarnation) {
        view.snapshotDue = true;
        m_agentsToWake.insert(view.agent);
        return;
    }
    noteAnswered(view, request, now);
    processEnds(view, request, now);
    for (const RunReport &report : request.runs) {
        if (view.runs.count(report.run) != 0)
            processReport(view, report, now);
        else
            processUnexpected(view, report, now);
    }
}

BootTime CellDispatcher::startBy() const
{
    BootTime startBy = BootTime::max();
    if (m_limits.cancelMs > 0)
        startBy = std::min(startBy, m_inboxTime + Milliseconds(m_limits.cancelMs));
    if (m_limits.evacuateMs > 0)
        startBy = std::min(startBy, m_evacuationsTime + Milliseconds(m_limits.evacuateMs));
    return startBy;
}

bool CellDispatcher::canStartInTime(BootTime now) const
{
    return now + minStartTime <= startBy();
}

std::int64_t CellDispatcher::startWithinMs(const MinionView &view, BootTime arrived) const
{
    if (m_closedDataCentres.count(view.facts.dataCentre) != 0)
        return 0;
    const BootTime until = startBy();
    if (until == BootTime::max())
        return -1;
    return std::max<std::int64_t>(0, (until - arrived).count());
}

bool CellDispatcher::hasOrders(const std::string &agent) const
{
    const auto view = m_minions.find(agent);
    return view != m_minions.end() &&
           (!view->second.outbox.empty() || !view->second.absentSeen.empty() ||
            view->second.snapshotDue);
}

bool CellDispatcher::hasStagedStarts() const
{
    return std::any_of(m_staged.begin(), m_staged.end(), [](const auto &entry) {
        const auto &orders = entry.second.orders;
        return std::any_of(orders.begin(), orders.end(),
                           [](const auto &order) { return order.second.kind == OrderKind::Start; });
    });
}

bool CellDispatcher::hasUndeliveredStarts(BootTime heardSince) const
{
    const auto isStart = [](const RunOrder &order) { return order.kind == OrderKind::Start; };
    const auto unconfirmed = [&](const auto &entry) {
        const MinionView &view = entry.second;
        return view.lastHeard >= heardSince &&
               std::any_of(view.outbox.begin(), view.outbox.end(), isStart);
    };
    return m_inFlight || hasStagedStarts() ||
           std::any_of(m_minions.begin(), m_minions.end(), unconfirmed);
}

void CellDispatcher::beginSession(MinionView &view, const ExchangeRequest &request)
{
    recordEvent("agent started a new session",
                {{"agent", request.agent}, {"session", request.session}});
    view.session = request.session;
    view.newestMessage = 0;
    view.snapshot = 0;
    view.snapshotDue = false;
    view.outbox.clear();
    view.absentSeen.clear();
    view.unexpectedStopped.clear();
    view.ends.clear();
    view.endsSeen = 0;
    // It is unknown which orders of the previous session were executed. stopMissingRuns() stops
    // every run that the new session does not report, so that its state becomes known.
    for (const RunKey &run : view.runs) {
        const auto [job, task] = locate(run.task);
        if (task != nullptr && task->startOrder > 0)
            task->startOrder = 0;
        if (task != nullptr)
            task->stopOrder = 0;
    }
}

void CellDispatcher::processEnds(MinionView &view, const ExchangeRequest &request, BootTime now)
{
    for (const RunEnd &end : request.ends) {
        if (end.number == 0) {
            processEnd(view, end, now);
            continue;
        }
        if (end.number <= view.endsSeen || view.ends.count(end.number) != 0)
            continue;
        view.ends[end.number] = false;
        processEnd(view, end, now);
    }
    advanceEndsSeen(view);
}

void CellDispatcher::processEnd(MinionView &view, const RunEnd &end, BootTime now)
{
    const auto [job, task] = locate(end.run.task);
    const bool current = task != nullptr && task->active() && task->run == end.run.number &&
                         task->agent == view.agent && task->incarnation == view.facts.incarnation;
    if (view.unexpectedRuns.erase(end.run) != 0)
        roomGained(view);
    if (job != nullptr && end.number > 0)
        begin(*job, now);
    // A run that was given up has ended as done after all, before the task was placed again.
    const bool lateDone = !current && task != nullptr && task->phase == TaskPhase::Waiting &&
                          task->run >= end.run.number && end.outcome == RunOutcome::Done &&
                          !stepOf(*job, end.run).longRunning && !isFinal(job->phase());
    if (lateDone)
        recordEvent("a run that was given up had ended as done",
                    {{"task", end.run.task},
                     {"run", std::to_string(end.run.number)},
                     {"agent", view.agent}});
    if (!current && !lateDone) {
        // The end changes nothing: it was processed before, or the run was already given up. If the
        // job still has unstored changes, they may include this end, so the confirmation waits for
        // the commit.
        const std::string id = job == nullptr ? "" : job->spec().id;
        if (job != nullptr && (m_inFlight || m_dirtySet.count(id) != 0)) {
            stageEnd(id, view, end);
            markDirty(*job);
        } else if (end.number == 0)
            confirmAbsent(view, end.run);
        else
            view.ends[end.number] = true;
        return;
    }
    recordOutcome(view, *job, end.outcome, now);
    if (end.outcome == RunOutcome::Absent && end.reason == noRoomReason)
        view.noRoomUntil = now + noRoomPause;
    const std::string id = job->spec().id;
    finishRun(*job, *task, end, now);
    stageEnd(id, view, end);
}

void CellDispatcher::stageEnd(const std::string &job, const MinionView &view, const RunEnd &end)
{
    if (end.number == 0)
        m_staged[job].absent.emplace_back(view.agent, end.run);
    else
        m_staged[job].ends.emplace_back(view.agent, end.number);
}

void CellDispatcher::advanceEndsSeen(MinionView &view)
{
    while (!view.ends.empty() && view.ends.begin()->second) {
        view.endsSeen = view.ends.begin()->first;
        view.ends.erase(view.ends.begin());
    }
}

void CellDispatcher::finishRun(JobModel &job, TaskState &task, const RunEnd &end, BootTime now)
{
    const auto name = TaskName::parse(end.run.task);
    const StepSpec &step = job.step(*name);
    const auto view = m_minions.find(task.agent);
    if (view != m_minions.end())
        detach(view->second, step, end.run);
    if (view != m_minions.end())
        roomGained(view->second);
    recordEvent("run ended", {{"task", end.run.task},
                              {"run", std::to_string(end.run.number)},
                              {"outcome", Json(end.outcome).get<std::string>()},
                              {"agent", task.agent},
                              {"reason", end.reason},
                              {"ranMs", std::to_string((now - task.placedAt).count())}});
    if (!end.checkpoint.empty())
        task.checkpoint = end.checkpoint;
    task.phase = TaskPhase::Waiting;
    if (end.outcome == RunOutcome::Done) {
        task.phase = step.longRunning ? TaskPhase::Waiting : TaskPhase::Done;
    } else if (end.outcome == RunOutcome::Failed) {
        task.failedAgent = task.agent;
        task.failures += step.longRunning ? 0 : 1;
    }
    task.agent.clear();
    task.incarnation = {};
    if (step.gang) {
        // The end of one member as done stands for all, also for members that end otherwise later.
        auto &members =
            job.occurrences().at(name->occurrence)[static_cast<std::size_t>(name->step)];
        const bool done = std::any_of(members.begin(), members.end(), [](const TaskState &member) {
            return member.phase == TaskPhase::Done;
        });
        for (TaskState &member : members) {
            if (done && member.phase == TaskPhase::Waiting)
                member.phase = TaskPhase::Done;
        }
    }
    const bool exhausted =
        !step.longRunning && task.phase != TaskPhase::Done && task.failures >= job.spec().attempts;
    if (exhausted && !isFinal(job.phase())) {
        job.setPhase(JobPhase::Failed);
        recordEvent("job failed: a task has used up its attempts",
                    {{"job", job.spec().id}, {"task", end.run.task}});
    }
    markDirty(job);
    if (isFinal(job.phase()))
        stopActive(job);
}

void CellDispatcher::recordOutcome(MinionView &view, const JobModel &job, RunOutcome outcome,
                                   BootTime now)
{
    if (outcome == RunOutcome::Done && !view.failedJobs.empty())
        view.failedJobs.erase(std::min_element(
            view.failedJobs.begin(), view.failedJobs.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; }));
    if (outcome == RunOutcome::Done)
        view.avoidMs = 0;
    if (outcome != RunOutcome::Failed)
        return;
    view.failedJobs[job.spec().id] = now;
    if (view.failedJobs.size() < suspectJobs || view.avoidUntil > now)
        return;
    view.avoidMs = std::clamp(view.avoidMs * 2, initialAvoidMs, maxAvoidMs);
    view.avoidUntil = now + Milliseconds(view.avoidMs);
    recordEvent("avoiding minion: tasks of several jobs failed on it",
                {{"agent", view.agent},
                 {"jobs", std::to_string(view.failedJobs.size())},
                 {"forMs", std::to_string(view.avoidMs)}});
}

void CellDispatcher::tick(BootTime now, std::int64_t timeOfDayMs)
{
    endLapsedLeases(now);
    for (auto &[agent, view] : m_minions) {
        std::erase_if(view.failedJobs,
                      [&](const auto &entry) { return now - entry.second > failureWindow; });
        if (view.noRoomUntil != BootTime{} && now >= view.noRoomUntil) {
            view.noRoomUntil = {};
            roomGained(view);
        }
        if (!isFresh(view, now))
            continue;
        stopStalledRuns(view, now);
        moveSlowedRuns(view, now);
    }
    for (auto next = m_recurringJobs.begin(); next != m_recurringJobs.end();) {
        ++m_upkeepCounts.occurrenceChecks;
        JobModel &job = m_jobs.at(*next++); // markDirty() removes the id of a finished job
        if (job.addDueOccurrences(timeOfDayMs))
            markDirty(job);
    }
    updateLongRunningLimit(now);
    keepRoom(now);
    boundSoftConstraints(now);
    useNewHeadrooms(now);
    m_placementDue = m_placementDue || m_roomVersion != m_triedRoomVersion;
}

} // namespace lavenderarch
