// Cell ledger: application of committed changes and its invariants.
#include "lavenderarch/scheduling/cell_ledger.h"

#include "lavenderarch/core/invariant.h"

#include <algorithm>

namespace lavenderarch {

LedgerTask &CellLedger::task(const TaskId &id)
{
    const auto found = m_tasks.find(id);
    LAVENDER_INVARIANT(found != m_tasks.end(), "a change names a task that is not in the ledger");
    return found->second;
}

const LedgerTask *CellLedger::findTask(const TaskId &id) const
{
    const auto found = m_tasks.find(id);
    return found == m_tasks.end() ? nullptr : &found->second;
}

int CellLedger::runningTaskCount(const CustomerName &customer) const
{
    const auto found = m_running.find(customer);
    return found == m_running.end() ? 0 : found->second;
}

void CellLedger::apply(const std::vector<LedgerChange> &changes)
{
    for (const LedgerChange &change : changes)
        apply(change);
}

void CellLedger::apply(const LedgerChange &change)
{
    switch (change.kind) {
    case ChangeKind::TasksAdded:
        for (const LedgerTask &added : change.tasks)
            addTask(added);
        break;
    case ChangeKind::TaskPlaced:
        place(change);
        break;
    case ChangeKind::TaskRequeued:
        requeue(change);
        break;
    case ChangeKind::TaskDone:
    case ChangeKind::TaskFailed:
    case ChangeKind::TaskCancelled:
    case ChangeKind::TaskMoved:
        end(change);
        break;
    case ChangeKind::JobReported:
        reportJob(change.job);
        break;
    case ChangeKind::WorkersChanged:
        changeWorkers(change.workers);
        break;
    }
}

void CellLedger::addTask(const LedgerTask &added)
{
    LAVENDER_INVARIANT(added.phase == TaskPhase::Queued,
                       "a task was added to a cell while it was placed");
    const bool isNew = m_tasks.emplace(added.id, added).second;
    LAVENDER_INVARIANT(isNew, "a task was added to the cell twice");
    m_queued.insert(added.id);
    JobProgress &job = m_jobs[added.spec.job];
    job.job = added.spec.job;
    job.customer = added.spec.customer;
    ++job.added;
}

void CellLedger::place(const LedgerChange &change)
{
    LedgerTask &placed = task(change.task);
    LAVENDER_INVARIANT(placed.phase == TaskPhase::Queued,
                       "a task was placed while it was already placed");
    LAVENDER_INVARIANT(change.incarnation == placed.incarnation + 1,
                       "a placement skipped or reused an incarnation");
    const auto worker = m_workers.find(change.worker);
    LAVENDER_INVARIANT(worker != m_workers.end(), "a task was placed on an unknown worker");
    worker->second.used = worker->second.used + change.reserved;
    LAVENDER_INVARIANT(worker->second.used.fitsInto(worker->second.info.capacity),
                       "the reservations on a worker exceed its capacity");
    worker->second.tasks.insert(change.task);
    placed.phase = TaskPhase::Placed;
    placed.incarnation = change.incarnation;
    placed.worker = change.worker;
    placed.reserved = change.reserved;
    placed.startBy = change.startBy;
    placed.placedAt = change.at;
    m_queued.erase(change.task);
    ++m_running[placed.spec.customer];
}

void CellLedger::release(LedgerTask &released)
{
    const auto worker = m_workers.find(released.worker);
    if (worker != m_workers.end()) {
        worker->second.used = worker->second.used - released.reserved;
        LAVENDER_INVARIANT(worker->second.used.isValid(), "a reservation was released twice");
        worker->second.tasks.erase(released.id);
    }
    int &running = m_running[released.spec.customer];
    if (--running == 0)
        m_running.erase(released.spec.customer);
    released.worker = WorkerId();
    released.reserved = Resources();
    released.startBy = TimePoint();
    released.placedAt = TimePoint();
}

void CellLedger::requeue(const LedgerChange &change)
{
    LedgerTask &requeued = task(change.task);
    LAVENDER_INVARIANT(requeued.phase == TaskPhase::Placed &&
                           requeued.incarnation == change.incarnation,
                       "a task was requeued that is not placed as this incarnation");
    if (change.failedHere)
        requeued.failedOn.push_back(requeued.worker);
    release(requeued);
    requeued.phase = TaskPhase::Queued;
    requeued.progress = change.progress;
    requeued.queuedAt = change.at;
    m_queued.insert(change.task);
}

void CellLedger::end(const LedgerChange &change)
{
    LedgerTask &ended = task(change.task);
    LAVENDER_INVARIANT(ended.incarnation == change.incarnation,
                       "a task was ended by a report of an old incarnation");
    const bool placed = ended.phase == TaskPhase::Placed;
    JobProgress &job = m_jobs[ended.spec.job];
    if (change.kind == ChangeKind::TaskDone)
        ++job.done;
    else if (change.kind == ChangeKind::TaskFailed)
        ++job.failed;
    else if (change.kind == ChangeKind::TaskMoved)
        ++job.moved;
    else
        ++job.cancelled;
    LAVENDER_INVARIANT(placed || change.kind != ChangeKind::TaskDone,
                       "a task that is not placed was marked as done");
    LAVENDER_INVARIANT(!placed || change.kind != ChangeKind::TaskMoved,
                       "a task was moved while it was placed");
    if (change.kind == ChangeKind::TaskCancelled && ended.incarnation == 0)
        job.refund += ended.spec.voucherCost;
    if (!change.reason.empty())
        job.lastReason = change.reason;
    LAVENDER_INVARIANT(job.unfinished() >= 0, "more tasks of a job ended than were added");
    if (placed)
        release(ended);
    m_queued.erase(change.task);
    m_tasks.erase(change.task);
}

void CellLedger::changeWorkers(const std::vector<WorkerInfo> &workers)
{
    std::map<WorkerId, LedgerWorker> next;
    for (const WorkerInfo &info : workers) {
        const auto known = m_workers.find(info.id);
        if (known != m_workers.end())
            next[info.id] = known->second;
        next[info.id].info = info;
    }
    for (const auto &[id, worker] : m_workers)
        LAVENDER_INVARIANT(next.count(id) != 0 || worker.tasks.empty(),
                           "a worker left the cell while tasks were placed on it");
    m_workers = std::move(next);
}

void CellLedger::reportJob(const JobKey &key)
{
    const auto found = m_jobs.find(key);
    LAVENDER_INVARIANT(found != m_jobs.end(), "a job was reported that is not in the ledger");
    JobProgress unreported;
    unreported.job = key;
    unreported.customer = found->second.customer;
    unreported.added = found->second.unfinished();
    if (unreported.added == 0)
        m_jobs.erase(found);
    else
        found->second = unreported;
}

Json CellLedger::snapshot() const
{
    Json tasks = Json::array();
    for (const auto &[id, task] : m_tasks)
        tasks.push_back(task);
    Json workers = Json::array();
    for (const auto &[id, worker] : m_workers)
        workers.push_back(worker.info);
    Json jobs = Json::array();
    for (const auto &[key, job] : m_jobs)
        jobs.push_back(job);
    return {{"tasks", tasks}, {"workers", workers}, {"jobs", jobs}};
}

StatusOr<CellLedger> CellLedger::restore(const Json &snapshot)
{
    CellLedger ledger;
    try {
        ledger.changeWorkers(snapshot.at("workers").get<std::vector<WorkerInfo>>());
        for (const LedgerTask &task : snapshot.at("tasks").get<std::vector<LedgerTask>>()) {
            ledger.m_tasks[task.id] = task;
            if (task.phase == TaskPhase::Queued) {
                ledger.m_queued.insert(task.id);
                continue;
            }
            LedgerWorker &worker = ledger.m_workers.at(task.worker);
            worker.used = worker.used + task.reserved;
            worker.tasks.insert(task.id);
            ++ledger.m_running[task.spec.customer];
        }
        for (const JobProgress &job : snapshot.at("jobs").get<std::vector<JobProgress>>())
            ledger.m_jobs[job.job] = job;
    } catch (const std::exception &error) {
        return makeError(ErrorKind::Internal, std::string("snapshot: ") + error.what());
    }
    return ledger;
}

} // namespace lavenderarch
