// Implementation of CellOwner; included by cell_owner.h only.
#pragma once

#include "lavenderarch/scheduling/cell_owner.h"
#include "lavenderarch/telemetry/log.h"

namespace lavenderarch {

inline constexpr std::size_t maxInboxItemsPerRound = 50;
inline constexpr std::size_t maxTasksTakenPerRound = 2000;

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::round(const CellSurroundings &surroundings,
                                                       TimePoint now)
{
    if (!m_owns) {
        if (surroundings.mayTakeOver)
            tryTakeOver(now);
        return;
    }
    const bool resolved = resolveAttempts(now);
    if (!m_owns)
        return;
    gatherReports(now);
    const auto conditions = resolved ? readConditions(surroundings, now)
                                     : makeError(ErrorKind::StoreUnavailable, "head unknown");
    if (conditions.ok())
        decide(surroundings, *conditions, now);
    if (m_owns)
        sendCommands(conditions.ok() ? *conditions : rememberedConditions(surroundings), now);
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::tryTakeOver(TimePoint now)
{
    const auto current = m_store.head(m_cell, storeDeadline());
    if (!current.ok() || now <= current->first.ownerLease + maxClockSkew)
        return;
    CellHead head = current->first;
    head.cell = m_cell;
    head.dataCentre = m_dataCentre;
    auto ledger = m_store.ledger(head, storeDeadline());
    if (!ledger.ok()) {
        logFailure("cell", "ledger cannot be read", ledger.status(), {{"cell", m_cell.text()}});
        return;
    }
    const TimePoint grantedUntil = head.horizon;
    ++head.epoch;
    head.owner = m_self;
    head.ownerLease = now + ownerLease;
    head.horizon = std::max(head.horizon, now + leaseHorizon);
    head.writeId = makeUniqueId();
    const std::string key = cellHeadKey(m_cell);
    const auto result = m_store.table().commit(
        {{{key, current->second}}, {{key, Json(head).dump()}}}, storeDeadline());
    if (result.ok() && !result->committed)
        return;
    const auto confirmed = m_store.head(m_cell, storeDeadline());
    if (!confirmed.ok() || confirmed->first.writeId != head.writeId)
        return; // a lost answer is found again when the lease has lapsed
    m_head = head;
    m_headVersion = confirmed->second;
    m_attempts.clear();
    m_renewedAt = now;
    m_scheduler.resume(*std::move(ledger), grantedUntil);
    m_owns = true;
    logEvent(LogLevel::Info, "cell", "cell taken over",
             {{"cell", m_cell.text()}, {"epoch", std::to_string(head.epoch)}});
}

/// Finds out which of the unanswered transactions took effect. False while that is unknown.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
bool CellOwner<Table, Objects, Workers, Policy>::resolveAttempts(TimePoint now)
{
    if (m_attempts.empty())
        return true;
    const auto current = m_store.head(m_cell, storeDeadline());
    if (!current.ok())
        return false;
    if (current->first.epoch != m_head.epoch) {
        m_owns = false;
        return true;
    }
    if (current->second == m_headVersion)
        return true; // none yet; a late one conflicts with the next that succeeds
    for (const Attempt &attempt : m_attempts) {
        if (attempt.head.writeId == current->first.writeId) {
            const Attempt applied = attempt;
            settle(applied, current->second, now);
            return true;
        }
    }
    m_owns = false;
    return true;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::settle(const Attempt &attempt,
                                                        std::int64_t rowVersion, TimePoint now)
{
    m_head = attempt.head;
    m_headVersion = rowVersion;
    m_scheduler.applyCommitted(attempt.plan, now);
    m_attempts.clear();
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::gatherReports(TimePoint now)
{
    for (const auto &[id, worker] : m_scheduler.ledger().workers()) {
        TimePoint &silentUntil = m_silentUntil[id];
        if (silentUntil > now)
            continue;
        const auto report = m_workers.report(id, SystemClock().now() + workerCallTimeout);
        if (report.ok())
            m_scheduler.noteReport(*report, now);
        else
            silentUntil = now + workerRetryPause;
    }
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
CellConditions CellOwner<Table, Objects, Workers, Policy>::rememberedConditions(
    const CellSurroundings &surroundings) const
{
    CellConditions conditions;
    conditions.manifest = surroundings.manifest;
    conditions.dataCentreOut = m_dataCentreState.out;
    conditions.canTransfer = !surroundings.transferTargets.empty();
    if (m_dataCentreState.change > 0 && !m_dataCentreState.out)
        conditions.backSince = m_dataCentreState.author.at;
    conditions.horizon = m_head.horizon;
    conditions.epoch = m_head.epoch;
    conditions.cells = surroundings.cells;
    return conditions;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
StatusOr<CellConditions>
CellOwner<Table, Objects, Workers, Policy>::readConditions(const CellSurroundings &surroundings,
                                                           TimePoint)
{
    const auto row = m_store.table().read(dataCentreKey(m_dataCentre), storeDeadline());
    if (!row.ok())
        return row.status();
    m_dataCentreState = DataCentreState();
    if (row->version != 0) {
        const auto state = parseRow<DataCentreState>(*row);
        if (!state.ok())
            return state.status();
        m_dataCentreState = *state;
        m_dataCentreState.rowVersion = row->version;
    }
    return rememberedConditions(surroundings);
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::sendCommands(const CellConditions &conditions,
                                                              TimePoint now)
{
    for (const WorkerCommands &batch : m_scheduler.commands(conditions, now)) {
        if (m_silentUntil[batch.worker] > now)
            continue;
        const auto results =
            m_workers.send(batch.worker, batch.commands, SystemClock().now() + workerCallTimeout);
        if (!results.ok())
            m_silentUntil[batch.worker] = now + workerRetryPause;
    }
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
CellHead CellOwner<Table, Objects, Workers, Policy>::nextHead(TimePoint now) const
{
    CellHead head = m_head;
    head.ownerLease = now + ownerLease;
    head.horizon = std::max(head.horizon, now + leaseHorizon);
    head.writeId = makeUniqueId();
    const CellLedger &ledger = m_scheduler.ledger();
    head.workers = static_cast<int>(ledger.workers().size());
    head.running = static_cast<int>(ledger.placedCount());
    head.queued = static_cast<int>(ledger.queued().size());
    head.freeMilliCores = 0;
    for (const auto &[id, worker] : ledger.workers())
        head.freeMilliCores += worker.free().milliCores();
    return head;
}

/// Workers that joined are added; one that left stays while tasks are placed on it.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::planWorkers(const CellSurroundings &surroundings,
                                                             CellPlan &plan) const
{
    std::map<WorkerId, WorkerInfo> wanted;
    for (const WorkerInfo &info : surroundings.workers)
        wanted[info.id] = info;
    std::set<WorkerId> inPlan;
    for (const LedgerChange &change : plan.changes)
        inPlan.insert(change.worker);
    for (const auto &[id, worker] : m_scheduler.ledger().workers()) {
        const bool busy = !worker.tasks.empty() || inPlan.count(id) != 0;
        if (busy)
            wanted[id] = worker.info;
    }
    LedgerChange change;
    change.kind = ChangeKind::WorkersChanged;
    for (const auto &[id, info] : wanted)
        change.workers.push_back(info);
    std::vector<WorkerInfo> present;
    for (const auto &[id, worker] : m_scheduler.ledger().workers())
        present.push_back(worker.info);
    if (change.workers != present)
        plan.changes.insert(plan.changes.begin(), change);
}

/// A cancellation stays until nothing of its job is here and no late transfer can bring more.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
bool CellOwner<Table, Objects, Workers, Policy>::mayForgetCancel(const InboxItem &item,
                                                                 TimePoint now) const
{
    const auto &jobs = m_scheduler.ledger().jobs();
    const auto job = jobs.find(item.spec.job);
    const bool present = job != jobs.end() && job->second.open() > 0;
    return !present && now > item.acceptedAt + cancelRetention;
}

/// Takes arrived work into the ledger, in the same transaction that removes its rows.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
bool CellOwner<Table, Objects, Workers, Policy>::takeInbox(Attempt &attempt,
                                                           TableTransaction &change, TimePoint now)
{
    const auto rows = m_store.table().scan(inboxPrefix(m_cell), storeDeadline());
    if (!rows.ok())
        return false;
    LedgerChange added;
    std::size_t taken = 0;
    for (const TableRow &row : *rows) {
        const auto item = parseRow<InboxItem>(row);
        if (!item.ok()) {
            logFailure("cell", "inbox row cannot be read", item.status(), {{"row", row.key}});
            continue;
        }
        if (item->kind == InboxKind::Cancel) {
            m_scheduler.noteCancel(item->spec.job);
            if (!mayForgetCancel(*item, now))
                continue;
        }
        const auto tasks = tasksOf(*item);
        added.tasks.insert(added.tasks.end(), tasks.begin(), tasks.end());
        change.conditions.push_back({row.key, row.version});
        change.writes.push_back({row.key, "", true});
        if (++taken >= maxInboxItemsPerRound || added.tasks.size() >= maxTasksTakenPerRound)
            break;
    }
    if (!added.tasks.empty())
        attempt.plan.changes.push_back(added);
    return true;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::sendTransfers(const CellSurroundings &surroundings,
                                                               const CellPlan &plan,
                                                               TableTransaction &change,
                                                               TimePoint now)
{
    const std::size_t targets = surroundings.transferTargets.size();
    std::vector<InboxItem> items(targets);
    for (std::size_t index = 0; index < plan.transfers.size(); ++index)
        items[index % targets].tasks.push_back(plan.transfers[index]);
    for (std::size_t index = 0; index < targets; ++index) {
        if (items[index].tasks.empty())
            continue;
        items[index].kind = InboxKind::Transfer;
        items[index].spec = items[index].tasks.front().spec;
        items[index].acceptedAt = now;
        const std::string key =
            inboxPrefix(surroundings.transferTargets[index]) + "transfer-" + makeUniqueId();
        change.conditions.push_back({key, 0});
        change.writes.push_back({key, Json(items[index]).dump()});
    }
}

/// Adds the ends counted for `job` to its part row.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
StatusOr<TableWrite>
CellOwner<Table, Objects, Workers, Policy>::jobPartRow(const JobProgress &job,
                                                       TableTransaction &change)
{
    const auto row = m_store.table().read(jobPartKey(job.job, m_cell), storeDeadline());
    if (!row.ok())
        return row.status();
    JobProgress total;
    if (row->version != 0) {
        const auto before = parseRow<JobProgress>(*row);
        if (!before.ok())
            return before.status();
        total = *before;
    }
    total.job = job.job;
    total.customer = job.customer;
    total.added += job.ended();
    total.moved += job.moved;
    total.done += job.done;
    total.failed += job.failed;
    total.cancelled += job.cancelled;
    total.refund += job.refund;
    if (!job.lastReason.empty())
        total.lastReason = job.lastReason;
    change.conditions.push_back({row->key, row->version});
    return TableWrite{row->key, Json(total).dump()};
}

/// Gives back the units of tasks that provably never started.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
bool CellOwner<Table, Objects, Workers, Policy>::refund(
    const std::map<CustomerName, std::int64_t> &refunds, TableTransaction &change)
{
    for (const auto &[customer, units] : refunds) {
        const auto row = m_store.table().read(voucherKey(customer), storeDeadline());
        if (!row.ok())
            return false;
        const auto balance = parseRow<VoucherBalance>(*row);
        if (!balance.ok())
            return false;
        VoucherBalance after = *balance;
        after.balance += units;
        after.spent -= units;
        change.conditions.push_back({row->key, row->version});
        change.writes.push_back({row->key, Json(after).dump()});
    }
    return true;
}

/// Reports ends of tasks to the part rows of their jobs, with the refunds, now and then.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
bool CellOwner<Table, Objects, Workers, Policy>::reportJobs(Attempt &attempt,
                                                            TableTransaction &change, TimePoint now)
{
    if (now < m_jobsReportedAt + jobReportInterval)
        return true;
    m_jobsReportedAt = now;
    std::map<CustomerName, std::int64_t> refunds;
    std::size_t reported = 0;
    for (const auto &[key, job] : m_scheduler.ledger().jobs()) {
        if (job.ended() == 0)
            continue;
        auto write = jobPartRow(job, change);
        if (!write.ok())
            return false;
        change.writes.push_back(*std::move(write));
        if (job.refund > 0)
            refunds[job.customer] += job.refund;
        LedgerChange report;
        report.kind = ChangeKind::JobReported;
        report.job = key;
        attempt.plan.changes.insert(attempt.plan.changes.begin(), report);
        if (++reported >= maxInboxItemsPerRound)
            break;
    }
    return refund(refunds, change);
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::takeSnapshot(TableTransaction &change,
                                                              CellHead &head)
{
    if (m_head.sequence - m_head.snapshotSequence < logRowsPerSnapshot)
        return;
    const std::string name = cellSnapshotName(m_cell, m_head.sequence);
    const Status stored =
        m_store.objects().put(name, m_scheduler.ledger().snapshot().dump(), storeDeadline());
    if (!stored.ok())
        return;
    for (std::int64_t row = m_head.snapshotSequence + 1; row <= m_head.sequence; ++row)
        change.writes.push_back({cellLogKey(m_cell, row), "", true});
    head.snapshotSequence = m_head.sequence;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::decide(const CellSurroundings &surroundings,
                                                        const CellConditions &conditions,
                                                        TimePoint now)
{
    Attempt attempt;
    TableTransaction change;
    attempt.plan = m_scheduler.plan(conditions, now);
    planWorkers(surroundings, attempt.plan);
    if (!reportJobs(attempt, change, now) || !takeInbox(attempt, change, now))
        return;
    sendTransfers(surroundings, attempt.plan, change, now);
    if (attempt.plan.hasPlacements) {
        const std::string key = dataCentreKey(m_dataCentre);
        change.conditions.push_back({key, m_dataCentreState.rowVersion});
    }
    const bool nothing = attempt.plan.changes.empty() && change.writes.empty();
    if (nothing && now < m_renewedAt + ownerRenewInterval)
        return;
    attempt.head = nextHead(now);
    if (!attempt.plan.changes.empty()) {
        ++attempt.head.sequence;
        const std::string key = cellLogKey(m_cell, attempt.head.sequence);
        change.writes.push_back({key, Json(attempt.plan.changes).dump()});
    }
    if (m_attempts.empty())
        takeSnapshot(change, attempt.head);
    commit(std::move(attempt), std::move(change), now);
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::commit(Attempt attempt, TableTransaction change,
                                                        TimePoint now)
{
    const std::string key = cellHeadKey(m_cell);
    change.conditions.push_back({key, m_headVersion});
    change.writes.push_back({key, Json(attempt.head).dump()});
    m_attempts.push_back(std::move(attempt));
    const auto result = m_store.table().commit(change, storeDeadline());
    if (!result.ok() && kindOf(result.status()) == ErrorKind::StoreUnavailable)
        m_attempts.pop_back();
    if (!result.ok())
        return;
    if (!result->committed) {
        // Perhaps an earlier attempt took effect, another process owns the cell, an operator
        // changed the data centre, or an inbox row changed: the head row tells.
        m_attempts.pop_back();
        const auto current = m_store.head(m_cell, storeDeadline());
        const bool lost = current.ok() && current->first.epoch != m_head.epoch;
        m_owns = m_owns && !lost;
        return;
    }
    const auto confirmed = m_store.table().read(key, storeDeadline());
    if (!confirmed.ok())
        return; // resolved in the next round
    const auto head = parseRow<CellHead>(*confirmed);
    if (!head.ok() || head->writeId != m_attempts.back().head.writeId) {
        m_owns = false;
        return;
    }
    const Attempt applied = m_attempts.back();
    settle(applied, confirmed->version, now);
    m_renewedAt = now;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::release(TimePoint now)
{
    if (!m_owns || !resolveAttempts(now) || !m_owns)
        return;
    CellHead head = nextHead(now);
    head.owner = ProcessId();
    head.ownerLease = TimePoint();
    const std::string key = cellHeadKey(m_cell);
    m_owns = false;
    const auto result = m_store.table().commit({{{key, m_headVersion}}, {{key, Json(head).dump()}}},
                                               storeDeadline());
    if (!result.ok())
        logFailure("cell", "cell was not given back", result.status(), {{"cell", m_cell.text()}});
}

} // namespace lavenderarch
