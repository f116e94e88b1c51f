// Placement of waiting tasks.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "lavenderarch/dispatch/queue_catalog.h"
#include "placement.h"
#include "step_tasks.h"

#include <algorithm>
#include <limits>

namespace lavenderarch {
namespace {

/// Maximum number of tasks placed in one pass, which bounds the CPU time spent before a commit.
constexpr int maxPlacementsPerPass = 120;
/// Maximum number of tasks that are placed on a minion after one search. An agent starts them one
/// after the other, so that the last of a larger group would start late.
constexpr std::size_t maxGroupSize = 8;
/// Minions with room that a search compares. The best of so many is nearly as good as the best of
/// all, and the time of a search does not grow with the size of the cell.
constexpr std::size_t enoughCandidates = 24;
/// The same for best-effort tasks, whose pace differs more between minions.
constexpr std::size_t enoughBestEffortCandidates = 96;
/// Time between two uses of new headrooms for each minion of the cell, as each use lets the waiting
/// best-effort tasks try all of them. A minion's figures change each half second.
constexpr Milliseconds headroomIntervalPerMinion{2};
/// Value of TaskState::startOrder while the start waits for its commit.
constexpr std::int64_t unreleased = -1;

} // namespace

void CellDispatcher::attach(MinionView &view, const StepSpec &step, const RunKey &run)
{
    if (!view.runs.insert(run).second)
        return;
    view.used = view.used + reservedDemand(step);
    if (step.longRunning)
        view.usedByLongRunning = view.usedByLongRunning + reservedDemand(step);
    if (step.tailTargetMs > 0)
        view.serving[run].image = step.image;
    if (step.bestEffort) {
        view.bestEffort[run] = {step.image, step.demand.milliCores()};
        updateBestEffort(view, m_tailModel);
    }
    view.weightsDue = true;
}

void CellDispatcher::detach(MinionView &view, const StepSpec &step, const RunKey &run)
{
    if (view.runs.erase(run) == 0)
        return;
    view.used = view.used - reservedDemand(step);
    if (step.longRunning)
        view.usedByLongRunning = view.usedByLongRunning - reservedDemand(step);
    view.serving.erase(run);
    if (view.bestEffort.erase(run) != 0)
        updateBestEffort(view, m_tailModel);
}

void CellDispatcher::roomGained(MinionView &view)
{
    updateBestEffort(view, m_tailModel); // the capacity may have changed
    view.roomVersion = ++m_roomVersion;
    m_placementDue = true;
}

/// Lets best-effort tasks be tried where headrooms have changed since they were last used, or on
/// all minions if the weights have changed. Headrooms change with each observation, so that each
/// pass would repeat the searches of all waiting tasks.
void CellDispatcher::useNewHeadrooms(BootTime now)
{
    if (now < m_nextHeadrooms)
        return;
    m_nextHeadrooms = now + headroomIntervalPerMinion * m_minions.size();
    const bool weightsChanged =
        std::exchange(m_triedObservations, m_tailModel.observationCount()) !=
        m_tailModel.observationCount();
    for (auto &[agent, view] : m_minions) {
        if (!std::exchange(view.headroomGained, false) && !weightsChanged)
            continue;
        updateBestEffort(view, m_tailModel);
        view.headroomVersion = ++m_roomVersion;
    }
}

/// Orders by priority, then by least remaining work. Under overload this lets the most jobs meet
/// their objectives, and a job's value grows more slowly than its work. See placeOverdue() for jobs
/// that are overtaken for long.
void CellDispatcher::updateWaiting(JobModel &job)
{
    const JobSpec &spec = job.spec();
    if (const auto known = m_waitingKeys.find(spec.id); known != m_waitingKeys.end()) {
        m_waitingJobs.erase(known->second);
        m_untriedJobs.erase(known->second);
        m_waitingKeys.erase(known);
    }
    if (isFinal(job.phase()) || job.waitingSteps().empty())
        return;
    const PlacementKey key{spec.priority, job.remainingWork(), spec.acceptedMs, spec.id};
    m_waitingKeys.emplace(spec.id, key);
    m_waitingJobs.emplace(key, &job);
    m_untriedJobs.emplace(key, &job);
}

void CellDispatcher::placeWaiting(BootTime now)
{
    if (m_catalog == nullptr)
        return;
    useNewHeadrooms(now);
    ++m_placementCounts.passes;
    int budget = maxPlacementsPerPass;
    // Where no minion has gained room, only jobs that have changed can be placed.
    const std::int64_t roomVersion = m_roomVersion;
    auto &jobs = roomVersion == m_triedRoomVersion ? m_untriedJobs : m_waitingJobs;
    std::optional<int> level; // priority whose overdue jobs have had their share
    for (auto next = jobs.begin(); next != jobs.end();) {
        if (const int priority = std::get<0>(next->first); level != priority) {
            level = priority;
            budget -= placeOverdue(priority, now);
            next = jobs.lower_bound({priority, std::numeric_limits<std::int64_t>::min(), 0, ""});
            continue; // entries have changed
        }
        JobModel &job = *(next++)->second; // markDirty() removes or replaces the entry of the job
        if (!m_catalog->serves(job.spec().service))
            continue;
        ++m_placementCounts.jobs;
        const int placed = placeJob(job, now, budget);
        if (placed > 0)
            markDirty(job);
        budget -= placed;
        if (budget <= 0) {
            m_placementDue = true;
            return;
        }
    }
    m_untriedJobs.clear();
    m_triedRoomVersion = roomVersion;
    m_placementDue = false;
}

/// Returns the number of placed tasks.
int CellDispatcher::placeJob(JobModel &job, BootTime now, int budget)
{
    int placed = 0;
    for (JobModel::WaitingStep &waiting : job.waitingSteps())
        placed += placeStep(job, waiting, now, budget - placed);
    return placed;
}

/// Returns the number of placed tasks.
int CellDispatcher::placeStep(JobModel &job, JobModel::WaitingStep &waiting, BootTime now,
                              int budget)
{
    if (waiting.failedAt == m_roomVersion)
        return 0;
    const int occurrence = waiting.occurrence;
    const std::size_t step = waiting.step;
    if (job.spec().steps[step].gang)
        return placeGang(job, waiting, now);
    int placed = 0;
    MinionView *view = nullptr;
    std::vector<RunKey> group; // runs placed on `view` since it was selected
    auto &tasks = job.occurrences().at(occurrence)[step];
    for (std::size_t index = 0; index < tasks.size() && placed < budget; ++index) {
        if (tasks[index].phase != TaskPhase::Waiting)
            continue;
        const StepSpec &spec = job.spec().steps[step];
        const bool exempt = waiting.exemptTasks > 0;
        if (spec.longRunning && !exempt && !mayRunLong(spec)) {
            m_longRunningHeldBack = true;
            break;
        }
        const PlacementRequest request{&job.spec(),   &job.spec().steps[step],
                                       &tasks[index], &m_closedDataCentres,
                                       &m_tailModel,  false,
                                       !exempt};
        if (view == nullptr || group.size() >= maxGroupSize || !suitsGroup(*view, request, now)) {
            if (view != nullptr)
                recordPlaced(*view, std::exchange(group, {}), now);
            const bool idle = job.activeRuns() == 0 && placed == 0;
            view = selectMinion(job, waiting, tasks[index], now, idle);
            if (view == nullptr) {
                searchFailed(waiting);
                return placed;
            }
        }
        if (exempt) {
            --waiting.exemptTasks;
            ++m_placementCounts.exempt;
        }
        const TaskName name = job.name(occurrence, static_cast<int>(step), static_cast<int>(index));
        group.push_back(place(job, name, *view, now));
        ++placed;
    }
    if (view != nullptr)
        recordPlaced(*view, group, now);
    return placed;
}

/// Places all members of the gang or none. Returns like placeStep().
int CellDispatcher::placeGang(JobModel &job, JobModel::WaitingStep &waitingStep, BootTime now)
{
    const int occurrence = waitingStep.occurrence;
    const std::size_t step = waitingStep.step;
    const bool exempt = waitingStep.exemptTasks > 0;
    const StepSpec &spec = job.spec().steps[step];
    const FailedSearches::Search search{job.searchGroup(step), spec.demand, !spec.bestEffort,
                                        spec.count};
    auto &tasks = job.occurrences().at(occurrence)[step];
    int run = 0;
    int waiting = 0;
    std::string checkpoint;
    for (const TaskState &task : tasks) {
        if (task.active())
            return 0; // all members of the previous run have to end first
        waiting += task.phase == TaskPhase::Waiting ? 1 : 0;
        run = std::max(run, task.run);
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    const bool knownToFail = !exempt && m_keptRoomJobs.count(job.spec().id) == 0 &&
                             m_failedSearches.failedAt(search) == m_roomVersion;
    if (waiting == 0 || knownToFail)
        return 0;
    std::vector<std::pair<TaskName, MinionView *>> members;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        // With members attached for the attempt only, a failure says nothing about later searches.
        MinionView *view =
            selectMinion(job, waitingStep, tasks[index], now, false, members.empty());
        const TaskName name = job.name(occurrence, static_cast<int>(step), static_cast<int>(index));
        if (view == nullptr)
            break;
        tasks[index].run = run;
        tasks[index].checkpoint = checkpoint;
        attach(*view, job.spec().steps[step], {name.text(), run + 1});
        tasks[index].phase = TaskPhase::Placed;
        tasks[index].agent = view->agent;
        members.emplace_back(name, view);
    }
    const bool complete = members.size() == tasks.size();
    std::map<std::string, std::vector<RunKey>> groups; // by agent
    for (const auto &[name, view] : members) {
        TaskState &task = tasks[static_cast<std::size_t>(name.index)];
        task.phase = TaskPhase::Waiting;
        task.agent.clear();
        detach(*view, job.spec().steps[step], {name.text(), run + 1});
        if (complete)
            groups[view->agent].push_back(place(job, name, *view, now));
    }
    for (const auto &[agent, runs] : groups)
        recordPlaced(m_minions.at(agent), runs, now);
    if (complete) {
        m_placementCounts.exempt += exempt ? spec.count : 0;
        waitingStep.exemptTasks = 0;
        return static_cast<int>(members.size());
    }
    searchFailed(waitingStep);
    if (spec.maxPerMinion == 0)
        m_failedSearches.record(search, m_roomVersion);
    return 0;
}

void CellDispatcher::searchFailed(JobModel::WaitingStep &waiting)
{
    waiting.failedAt = m_roomVersion;
    if (std::exchange(waiting.exemptTasks, 0) > 0)
        waiting.heldBackUntil = {}; // there is no room
}

/// Examines only minions that have gained room since a search for at most the same demand failed,
/// and those that keep room for the job, where a search of another job says nothing. The failure of
/// a gang does not count, as each minion may have had room for some of its members. Unless
/// `remember` is set, a failure is not recorded.
MinionView *CellDispatcher::selectMinion(const JobModel &job, const JobModel::WaitingStep &waiting,
                                         const TaskState &task, BootTime now, bool idleJob,
                                         bool remember)
{
    const StepSpec &spec = job.spec().steps[waiting.step];
    const FailedSearches::Search search{job.searchGroup(waiting.step), spec.demand,
                                        idleJob || !spec.bestEffort};
    ++m_placementCounts.searches;
    const bool exempt = waiting.exemptTasks > 0;
    const std::int64_t groupFailedAt = exempt ? 0 : m_failedSearches.failedAt(search);
    const std::int64_t stepFailedAt = spec.gang ? 0 : waiting.failedAt;
    const std::int64_t failedAt = std::max(groupFailedAt, stepFailedAt);
    const bool hasKeptRoom = m_keptRoomJobs.count(job.spec().id) != 0;
    if ((hasKeptRoom ? stepFailedAt : failedAt) == m_roomVersion)
        return nullptr;
    // A failure of this step alone may be due to maxPerMinion.
    remember = remember && !exempt && groupFailedAt == failedAt;
    const auto sameStep =
        spec.maxPerMinion > 0
            ? tasksPerAgent(job.occurrences().at(waiting.occurrence)[waiting.step])
            : std::map<std::string, int>{};
    const PlacementRequest request{&job.spec(),  &spec,   &task,  &m_closedDataCentres,
                                   &m_tailModel, idleJob, !exempt};
    // Long-running tasks are few and stay; those that want a rack have few candidates.
    const bool compareAll = spec.longRunning || !spec.preferredRack.empty();
    MinionView *best = nullptr;
    double bestScore = 0;
    const std::size_t enough = spec.bestEffort ? enoughBestEffortCandidates : enoughCandidates;
    std::size_t candidates = 0;
    auto next = m_minions.lower_bound(m_searchFrom);
    for (std::size_t left = m_minions.size(); left > 0; --left) {
        next = next == m_minions.end() ? m_minions.begin() : next;
        auto &[agent, view] = *next++;
        const bool kept = hasKeptRoom && view.keptForJob == job.spec().id;
        const std::int64_t examinedAt = kept ? stepFailedAt : failedAt;
        if (view.roomVersion <= examinedAt &&
            (!spec.bestEffort || view.headroomVersion <= examinedAt))
            continue;
        ++m_placementCounts.minions;
        const auto score = placementScore(view, request, now);
        if (!score)
            continue;
        remember = false;
        const auto same = sameStep.find(agent);
        if (same != sameStep.end() && same->second >= spec.maxPerMinion)
            continue;
        if (best == nullptr || *score > bestScore) {
            best = &view;
            bestScore = *score;
        }
        if (++candidates >= enough && !compareAll) {
            m_searchFrom = agent + '\0'; // the next search begins with the minion after this one
            break;
        }
    }
    if (remember)
        m_failedSearches.record(search, m_roomVersion);
    return best;
}

RunKey CellDispatcher::place(JobModel &job, const TaskName &name, MinionView &view, BootTime now)
{
    TaskState &task = *job.find(name);
    const StepSpec &step = job.step(name);
    task.phase = TaskPhase::Placed;
    ++task.run;
    task.agent = view.agent;
    task.incarnation = view.facts.incarnation;
    task.startOrder = unreleased;
    task.stopOrder = 0;
    task.progressPercent = 0;
    task.placedAt = now;
    task.progressAt = now;
    task.pacePercent = 100;
    task.slowedAt = {};
    RunOrder order = makeOrder(OrderKind::Start, {name.text(), task.run}, step);
    order.payload = job.spec().payload;
    order.checkpoint = task.checkpoint;
    attach(view, step, order.run);
    if (step.longRunning)
        m_longRunningMilliCores =
            saturatingSum(m_longRunningMilliCores, reservedDemand(step).milliCores());
    // Room for a larger task stays kept until keepRoom() decides anew.
    if (view.keptForJob == job.spec().id && view.keptRoom.fitsInto(reservedDemand(step))) {
        view.keptForJob.clear();
        view.keptRoom = Resources();
    }
    ++m_placementCounts.placed;
    RunKey run = order.run;
    m_staged[job.spec().id].orders.emplace_back(view.agent, std::move(order));
    return run;
}

void CellDispatcher::recordPlaced(const MinionView &view, const std::vector<RunKey> &runs,
                                  BootTime now)
{
    std::string list;
    for (const RunKey &run : runs)
        list += (list.empty() ? "" : " ") + run.task + "#" + std::to_string(run.number);
    recordEvent("runs placed", {{"runs", list},
                                {"agent", view.agent},
                                {"minion", view.facts.incarnation.id},
                                {"bornMs", std::to_string(view.facts.incarnation.bornMs)},
                                {"heardMsAgo", std::to_string((now - view.lastHeard).count())},
                                {"inboxAgeMs", std::to_string((now - m_inboxTime).count())},
                                {"catalogVersion", std::to_string(m_catalog->version)}});
}

} // namespace lavenderarch
