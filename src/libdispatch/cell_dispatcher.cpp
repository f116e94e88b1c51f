// Job handling, commits, and the orders and confirmations that a stored commit releases.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/queue_catalog.h"
#include "placement.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Limit on the rows that jobs write in one commit. A store transaction holds at most 100 entries,
/// of which the fence needs two and the tail model one.
constexpr std::size_t maxRowsPerCommit = 96;
/// A job writes its progress and sometimes its phase.
constexpr std::size_t maxRowsPerJob = 2;
/// Time for which the phase of a job that has begun waits for a commit with other changes.
constexpr Milliseconds begunStoreDelay{300};
/// Limit on the row values of one commit, in bytes. The store accepts 1 MB including its encoding.
constexpr std::size_t maxCommitBytes = 500'000;
/// Minimum time between two writes of the tail model, which is stored only as part of a
/// commit that has other changes.
constexpr Milliseconds modelStoreInterval{2000};
/// Events buffered between two calls of takeEvents(); further ones are dropped.
constexpr std::size_t maxEvents = 400;
/// Expired jobs whose rows one commit deletes: three rows in the inbox and two in the cell's own
/// partition for each job.
constexpr std::size_t maxExpiredPerCommit = 10;
/// Settled jobs whose rows one commit shrinks, and the minimum time between two such commits:
/// each costs the owner a further transaction.
constexpr std::size_t maxShrunkPerCommit = 60;
constexpr Milliseconds shrinkInterval{2000};

} // namespace

CellDispatcher::CellDispatcher(std::string cell, DispatchLimits limits, std::int64_t epoch)
    : m_cell(std::move(cell))
    , m_limits(limits)
    , m_epoch(epoch)
{
}

void CellDispatcher::recordEvent(std::string message,
                                 std::vector<std::pair<std::string, std::string>> fields)
{
    if (m_events.size() < maxEvents)
        m_events.push_back({std::move(message), std::move(fields)});
}

std::vector<DispatchEvent> CellDispatcher::takeEvents()
{
    return std::exchange(m_events, {});
}

void CellDispatcher::setCatalog(std::shared_ptr<const QueueCatalog> catalog)
{
    m_catalog = std::move(catalog);
    for (auto &[id, job] : m_jobs)
        updateOverdueTime(job);
    m_untriedJobs = m_waitingJobs; // the last pass left out those whose service had no route
    m_placementDue = true;
}

void CellDispatcher::setClosedDataCentres(std::set<std::string> dataCentres)
{
    m_closedDataCentres = std::move(dataCentres);
    for (auto &[agent, view] : m_minions)
        roomGained(view);
    m_placementDue = true;
}

void CellDispatcher::load(const std::vector<Row> &jobs, const std::vector<Row> &progress,
                          BootTime now)
{
    assumeLeases(now);
    for (const Row &row : progress) {
        if (JobModel::isSettled(row.value))
            keepSettled(row.key.key, now);
    }
    for (const Row &row : jobs) {
        if (cells::cancelledJob(row.key))
            continue;
        if (m_settledJobs.count(row.key.key) != 0 && !cells::isSettledJob(row))
            m_unshrunkJobs.push_back(row.key.key);
        addJob(row, now);
    }
    for (const Row &row : progress) {
        const auto job = m_jobs.find(row.key.key);
        if (job == m_jobs.end())
            continue;
        const Status loaded = job->second.loadProgress(row.value);
        if (!loaded.ok())
            recordEvent("cannot parse progress row",
                        {{"job", row.key.key}, {"error", messageOf(loaded)}});
        m_storedPhases[row.key.key] = job->second.phase();
    }
    for (auto &[id, job] : m_jobs) {
        job.forEachTask([&, &job = job](const TaskName &name, TaskState &task) {
            if (!task.active())
                return;
            MinionView &view = m_minions[task.agent];
            view.agent = task.agent;
            assumeStrayLease(view, now);
            task.placedAt = now;
            task.progressAt = now;
            attach(view, job.step(name), {name.text(), task.run});
        });
        if (job.settled())
            settle(id, now);
        if (isFinal(job.phase()))
            removeUnfinished(job.spec());
        updateWaiting(job);
    }
    for (const Row &row : jobs) {
        if (cells::cancelledJob(row.key))
            applyJobRow(row, now);
    }
    for (auto &[id, job] : m_jobs) {
        if (isFinal(job.phase()) && job.activeRuns() > 0)
            stopActive(job);
    }
}

void CellDispatcher::loadTailModel(const std::string &text)
{
    if (!m_tailModel.load(text))
        recordEvent("cannot parse the stored tail model; starting with an untrained one",
                    {{"cell", m_cell}});
}

void CellDispatcher::addJob(const Row &row, BootTime now)
{
    // A reload returns the rows of all jobs; parsing them again would take long.
    if (m_jobs.count(row.key.key) != 0 || m_settledJobs.count(row.key.key) != 0)
        return;
    // The job expired, but its row could not be removed.
    if (cells::isSettledJob(row)) {
        m_earlyCancellations.take(row.key.key);
        keepSettled(row.key.key, now);
        return;
    }
    const auto spec = parseAs<JobSpec>(row.value, "job row " + row.key.key);
    const bool named = spec.ok() && spec->id == row.key.key && !spec->id.empty();
    const Status valid = !spec.ok() ? spec.status()
                         : named    ? validateJob(*spec)
                                 : makeError(ErrorKind::InvalidRequest, "id is not the row's key");
    if (!valid.ok()) {
        recordEvent("job row is invalid", {{"job", row.key.key}, {"error", messageOf(valid)}});
        return;
    }
    const auto job = m_jobs.try_emplace(row.key.key, *spec).first;
    std::vector<int> groups;
    for (const StepSpec &step : spec->steps)
        groups.push_back(m_failedSearches.groupOf(spec->service, step));
    job->second.setSearchGroups(std::move(groups));
    job->second.setLoadedAt(now);
    updateOverdueTime(job->second);
    m_unfinishedJobs.emplace(spec->priority, spec->acceptedMs, spec->id);
    if (spec->occurrences > 0)
        m_recurringJobs.insert(spec->id);
    updateWaiting(job->second);
    m_placementDue = true;
    recordEvent(
        "job loaded from the store",
        {{"job", spec->id}, {"queue", spec->queue}, {"rowVersion", std::to_string(row.version)}});
    if (m_earlyCancellations.take(spec->id))
        cancelJob(spec->id, now);
}

void CellDispatcher::applyJobRow(const Row &row, BootTime now)
{
    if (row.removed)
        return;
    if (const auto cancelled = cells::cancelledJob(row.key))
        cancelJob(*cancelled, now);
    else
        addJob(row, now);
}

void CellDispatcher::cancelJob(const std::string &id, BootTime now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        if (m_settledJobs.count(id) == 0 &&
            m_earlyCancellations.add(id, now + Milliseconds(m_limits.retentionMs)))
            recordEvent("cancellation read before its job", {{"job", id}});
        return;
    }
    if (found->second.cancelled() || isFinal(found->second.phase()))
        return;
    JobModel &job = found->second;
    job.cancel();
    recordEvent("job cancelled", {{"job", id}, {"activeRuns", std::to_string(job.activeRuns())}});
    markDirty(job);
    stopActive(job);
    if (job.settled())
        settle(id, now);
}

void CellDispatcher::markDirty(JobModel &job)
{
    job.refresh();
    const JobSpec &spec = job.spec();
    if (m_dirtySet.insert(spec.id).second)
        m_dirty.push_back(spec.id);
    if (isFinal(job.phase()))
        removeUnfinished(spec);
    updateWaiting(job);
    m_placementDue = true;
}

void CellDispatcher::removeUnfinished(const JobSpec &spec)
{
    m_unfinishedJobs.erase({spec.priority, spec.acceptedMs, spec.id});
    m_recurringJobs.erase(spec.id);
}

void CellDispatcher::begin(JobModel &job, BootTime now)
{
    if (!job.begin())
        return;
    if (m_begunJobs.empty())
        m_begunStoreAt = now + begunStoreDelay;
    m_begunJobs.insert(job.spec().id);
}

void CellDispatcher::addPhaseWrite(CellCommit &commit, const JobModel &job)
{
    m_begunJobs.erase(job.spec().id);
    JobPhase &stored = m_storedPhases.try_emplace(job.spec().id, JobPhase::Queued).first->second;
    if (stored == job.phase())
        return;
    stored = job.phase();
    commit.writes.push_back(cells::stateWrite(m_cell, job.spec(), stored));
    recordEvent("job phase changed",
                {{"job", job.spec().id}, {"phase", Json(stored).get<std::string>()}});
}

CellDispatcher::Location CellDispatcher::locate(const std::string &task)
{
    const auto name = TaskName::parse(task);
    if (!name)
        return {nullptr, nullptr};
    const auto job = m_jobs.find(name->job);
    if (job == m_jobs.end())
        return {nullptr, nullptr};
    return {&job->second, job->second.find(*name)};
}

std::optional<CellCommit> CellDispatcher::prepareCommit(BootTime now, bool mayPlace)
{
    if (m_inFlight)
        return std::nullopt;
    if (m_placementDue && mayPlace) {
        m_placementDue = false;
        placeWaiting(now);
    }
    reportPlacement(now);
    expireEndedJobs(now);
    const bool begunDue = !m_begunJobs.empty() && now >= m_begunStoreAt;
    if (m_dirty.empty() && m_expiredJobs.empty() && !begunDue && !shrinkDue(now))
        return std::nullopt;
    CellCommit commit;
    m_inFlight.emplace();
    std::size_t bytes = 0;
    std::size_t jobsDequeued = 0;
    while (jobsDequeued < m_dirty.size() && bytes < maxCommitBytes &&
           commit.writes.size() + maxRowsPerJob <= maxRowsPerCommit) {
        const std::string &id = m_dirty[jobsDequeued++];
        m_dirtySet.erase(id);
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end())
            continue;
        const JobModel &job = found->second;
        commit.writes.push_back({cells::progressKey(m_cell, id), job.progressText(), false});
        bytes += commit.writes.back().value.size();
        addPhaseWrite(commit, job);
        if (job.settled())
            settle(id, now);
        if (const auto staged = m_staged.find(id); staged != m_staged.end()) {
            m_inFlight->push_back(std::move(staged->second));
            m_staged.erase(staged);
        }
    }
    m_dirty.erase(m_dirty.begin(), m_dirty.begin() + static_cast<std::ptrdiff_t>(jobsDequeued));
    while (!m_begunJobs.empty() && commit.writes.size() < maxRowsPerCommit) {
        const std::string id = *m_begunJobs.begin();
        if (const auto found = m_jobs.find(id); found != m_jobs.end())
            addPhaseWrite(commit, found->second);
        m_begunJobs.erase(id);
    }
    const bool mayDeleteExpired = commit.writes.empty();
    if (m_tailModel.observationCount() != m_storedObservations && now >= m_nextModelStore) {
        m_storedObservations = m_tailModel.observationCount();
        m_nextModelStore = now + modelStoreInterval;
        commit.writes.push_back(
            {{cells::modelTable, m_cell, cells::tailsKey}, m_tailModel.text(), false});
    }
    if (mayDeleteExpired) {
        for (const std::string &id : m_expiredJobs) {
            commit.inboxWrites.push_back(cells::removal(cells::jobKey(m_cell, id)));
            commit.inboxWrites.push_back(cells::removal(cells::cancelKey(m_cell, id)));
            commit.inboxWrites.push_back(cells::removal(cells::queuedKey(m_cell, id)));
            commit.writes.push_back(cells::removal(cells::stateKey(m_cell, id)));
            commit.writes.push_back(cells::removal(cells::progressKey(m_cell, id)));
        }
        m_expiredJobs.clear();
    }
    if (shrinkDue(now))
        addShrunkRows(commit, now);
    return commit;
}

void CellDispatcher::settle(const std::string &id, BootTime now)
{
    if (keepSettled(id, now))
        m_unshrunkJobs.push_back(id);
}

bool CellDispatcher::keepSettled(const std::string &id, BootTime now)
{
    const bool added = m_settledJobs.insert(id).second;
    if (added)
        m_expiries.emplace_back(now + Milliseconds(m_limits.retentionMs), id);
    return added;
}

bool CellDispatcher::shrinkDue(BootTime now) const
{
    return !m_unshrunkJobs.empty() && now >= m_nextShrink;
}

void CellDispatcher::addShrunkRows(CellCommit &commit, BootTime now)
{
    m_nextShrink = now + shrinkInterval;
    for (std::size_t left = std::min(m_unshrunkJobs.size(), maxShrunkPerCommit); left > 0; --left) {
        const std::string id = std::move(m_unshrunkJobs.front());
        m_unshrunkJobs.pop_front();
        if (m_dirtySet.count(id) != 0)
            m_unshrunkJobs.push_back(id); // its end is not stored by this commit
        else if (m_settledJobs.count(id) != 0)
            commit.inboxWrites.push_back(cells::settledJobWrite(m_cell, id));
    }
}

void CellDispatcher::expireEndedJobs(BootTime now)
{
    while (m_expiredJobs.size() < maxExpiredPerCommit) {
        auto id = m_earlyCancellations.takeExpired(now);
        if (!id)
            break;
        recordEvent("cancellation without a job expired", {{"job", *id}});
        m_expiredJobs.push_back(*std::move(id));
    }
    while (!m_expiries.empty() && m_expiredJobs.size() < maxExpiredPerCommit) {
        ++m_upkeepCounts.expiryChecks;
        auto &[expires, id] = m_expiries.front();
        if (now < expires)
            return;
        m_jobs.erase(id);
        m_storedPhases.erase(id);
        m_settledJobs.erase(id);
        m_expiredJobs.push_back(std::move(id));
        m_expiries.pop_front();
    }
}

void CellDispatcher::commitApplied(BootTime now)
{
    if (!m_inFlight)
        return;
    const auto released = std::move(*m_inFlight);
    m_inFlight.reset();
    for (const Staged &staged : released)
        releaseStaged(staged, now);
}

void CellDispatcher::releaseStaged(const Staged &staged, BootTime now)
{
    for (const auto &[agent, number] : staged.ends) {
        MinionView &view = m_minions[agent];
        if (const auto end = view.ends.find(number); end != view.ends.end())
            end->second = true;
        advanceEndsSeen(view);
    }
    for (const auto &[agent, run] : staged.absent)
        confirmAbsent(m_minions[agent], run);
    for (const auto &[agent, order] : staged.orders) {
        const auto [job, task] = locate(order.run.task);
        MinionView &view = m_minions[agent];
        if (task == nullptr || task->run != order.run.number || task->agent != agent ||
            task->incarnation != view.facts.incarnation)
            continue;
        if (task->phase == TaskPhase::Placed) {
            task->placedAt = now;
            task->progressAt = now;
            send(view, order, task->startOrder);
        } else if (task->phase == TaskPhase::Stopping) {
            sendStop(view, order.run, task->stopOrder);
            task->startOrder = task->stopOrder;
        }
    }
}

void CellDispatcher::send(MinionView &view, RunOrder order, std::int64_t &sequence)
{
    order.sequence = view.nextOrder++;
    sequence = order.sequence;
    view.outbox.push_back(std::move(order));
    m_agentsToWake.insert(view.agent);
}

void CellDispatcher::confirmAbsent(MinionView &view, const RunKey &run)
{
    view.absentSeen.push_back(run);
    m_agentsToWake.insert(view.agent);
}

void CellDispatcher::sendStop(MinionView &view, const RunKey &run, std::int64_t &stopOrder)
{
    const auto [job, task] = locate(run.task);
    RunOrder order;
    order.kind = OrderKind::Stop;
    order.run = run;
    if (task != nullptr) { // the agent may not know the run, and counts its demand until it ends
        const Resources reserved = reservedDemand(stepOf(*job, run));
        order.milliCores = reserved.milliCores();
        order.memoryMib = reserved.memoryMib();
        order.accelerators = reserved.accelerators();
    }
    send(view, std::move(order), stopOrder);
}

void CellDispatcher::stop(MinionView &view, const RunKey &run, TaskState &task)
{
    task.phase = TaskPhase::Stopping;
    // If the start order still waits for its commit, releaseStaged() sends a stop in its place.
    if (task.startOrder >= 0)
        sendStop(view, run, task.stopOrder);
}

void CellDispatcher::stopActive(JobModel &job)
{
    job.forEachTask([&](const TaskName &name, TaskState &task) {
        if (task.phase == TaskPhase::Placed)
            stop(m_minions[task.agent], {name.text(), task.run}, task);
    });
}

} // namespace lavenderarch
