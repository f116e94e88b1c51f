// Implementation of CellOwner; included by cell_owner.h only.
#pragma once

#include "lavenderarch/scheduling/cell_owner.h"
#include "lavenderarch/telemetry/log.h"

namespace lavenderarch {

inline constexpr std::size_t maxInboxItemsPerRound = 50;
inline constexpr std::size_t maxInboxTasksPerRound = 2000;

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::round(const CellEnvironment &environment,
                                                       TimePoint now)
{
    if (!m_isOwner) {
        if (environment.mayTakeOver)
            tryTakeOver(now);
        return;
    }
    const bool resolved = resolvePendingCommits(now);
    if (!m_isOwner)
        return;
    collectReports(now);
    const auto conditions =
        resolved ? readConditions(environment, now)
                 : makeError(ErrorKind::StoreUnavailable, "outcome of earlier commits is unknown");
    if (conditions.ok())
        decide(environment, *conditions, now);
    if (m_isOwner)
        sendCommands(conditions.ok() ? *conditions : cachedConditions(environment), now);
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
        logFailure("cell", "cannot read the ledger", ledger.status(), {{"cell", m_cell.text()}});
        return;
    }
    const TimePoint grantedUntil = head.horizon;
    ++head.epoch;
    head.owner = m_self;
    head.ownerLease = now + ownerLease;
    head.horizon = std::max(head.horizon, now + leaseHorizon);
    head.writeId = makeUniqueId();
    const std::string key = cellHeadKey(m_cell);
    const auto result = m_store.table().commit({{{key, current->second}}, {{key, jsonText(head)}}},
                                               storeDeadline());
    if (result.ok() && !result->committed)
        return;
    const auto confirmed = m_store.head(m_cell, storeDeadline());
    // If the commit took effect but could not be confirmed, the takeover is tried again once this
    // process's own lease in the head row has expired.
    if (!confirmed.ok() || confirmed->first.writeId != head.writeId)
        return;
    m_head = head;
    m_headVersion = confirmed->second;
    m_pendingCommits.clear();
    m_renewedAt = now;
    m_scheduler.resume(*std::move(ledger), grantedUntil);
    m_isOwner = true;
    logEvent(LogLevel::Info, "cell", "cell taken over",
             {{"cell", m_cell.text()}, {"epoch", std::to_string(head.epoch)}});
}

/// Determines which of the transactions without a response took effect; false while it cannot.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
bool CellOwner<Table, Objects, Workers, Policy>::resolvePendingCommits(TimePoint now)
{
    if (m_pendingCommits.empty())
        return true;
    const auto current = m_store.head(m_cell, storeDeadline());
    if (!current.ok())
        return false;
    if (current->first.epoch != m_head.epoch) {
        m_isOwner = false;
        return true;
    }
    if (current->second == m_headVersion)
        return true; // none so far; a delayed one fails once a newer commit succeeded
    for (const PendingCommit &pendingCommit : m_pendingCommits) {
        if (pendingCommit.head.writeId == current->first.writeId) {
            const PendingCommit applied = pendingCommit;
            applyCommitted(applied, current->second, now);
            return true;
        }
    }
    m_isOwner = false;
    return true;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::applyCommitted(const PendingCommit &pendingCommit,
                                                                std::int64_t rowVersion,
                                                                TimePoint now)
{
    m_head = pendingCommit.head;
    m_headVersion = rowVersion;
    m_scheduler.applyCommitted(pendingCommit.plan, now);
    m_pendingCommits.clear();
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::collectReports(TimePoint now)
{
    for (const auto &[id, worker] : m_scheduler.ledger().workers()) {
        TimePoint &retryAt = m_workerRetryAt[id];
        if (retryAt > now)
            continue;
        const auto report = m_workers.report(id, SystemClock().now() + workerCallTimeout);
        if (report.ok())
            m_scheduler.noteReport(*report, now);
        else
            retryAt = now + workerRetryDelay;
    }
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
CellConditions CellOwner<Table, Objects, Workers, Policy>::cachedConditions(
    const CellEnvironment &environment) const
{
    CellConditions conditions;
    conditions.manifest = environment.manifest;
    conditions.dataCentreOut = m_dataCentreState.out;
    conditions.canTransfer = !environment.transferTargets.empty();
    if (m_dataCentreState.change > 0 && !m_dataCentreState.out)
        conditions.inServiceSince = m_dataCentreState.author.at;
    conditions.horizon = m_head.horizon;
    conditions.epoch = m_head.epoch;
    conditions.cells = environment.cells;
    return conditions;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
StatusOr<CellConditions>
CellOwner<Table, Objects, Workers, Policy>::readConditions(const CellEnvironment &environment,
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
    return cachedConditions(environment);
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::sendCommands(const CellConditions &conditions,
                                                              TimePoint now)
{
    for (const WorkerCommands &batch : m_scheduler.commands(conditions, now)) {
        if (m_workerRetryAt[batch.worker] > now)
            continue;
        const auto results =
            m_workers.send(batch.worker, batch.commands, SystemClock().now() + workerCallTimeout);
        if (!results.ok())
            m_workerRetryAt[batch.worker] = now + workerRetryDelay;
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

/// Adds workers that joined the cell; keeps one that left while tasks are placed on it.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::planWorkers(const CellEnvironment &environment,
                                                             CellPlan &plan) const
{
    std::map<WorkerId, WorkerInfo> members;
    for (const WorkerInfo &info : environment.workers)
        members[info.id] = info;
    std::set<WorkerId> inPlan;
    for (const LedgerChange &change : plan.changes)
        inPlan.insert(change.worker);
    for (const auto &[id, worker] : m_scheduler.ledger().workers()) {
        const bool busy = !worker.tasks.empty() || inPlan.count(id) != 0;
        if (busy)
            members[id] = worker.info;
    }
    LedgerChange change;
    change.kind = ChangeKind::WorkersChanged;
    for (const auto &[id, info] : members)
        change.workers.push_back(info);
    std::vector<WorkerInfo> present;
    for (const auto &[id, worker] : m_scheduler.ledger().workers())
        present.push_back(worker.info);
    if (change.workers != present)
        plan.changes.insert(plan.changes.begin(), change);
}

/// A cancellation row stays while the cell has unfinished tasks of the job or a delayed transfer
/// can still bring some.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
bool CellOwner<Table, Objects, Workers, Policy>::canRemoveCancellation(const InboxItem &item,
                                                                       TimePoint now) const
{
    const auto &jobs = m_scheduler.ledger().jobs();
    const auto job = jobs.find(item.spec.job);
    const bool present = job != jobs.end() && job->second.unfinished() > 0;
    return !present && now > item.acceptedAt + cancelRetention;
}

/// Adds the tasks of inbox rows to the ledger, in the same transaction that removes the rows.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
bool CellOwner<Table, Objects, Workers, Policy>::consumeInbox(PendingCommit &pendingCommit,
                                                              TableTransaction &change,
                                                              TimePoint now)
{
    const auto rows = m_store.table().scan(inboxPrefix(m_cell), storeDeadline());
    if (!rows.ok())
        return false;
    LedgerChange added;
    std::size_t consumed = 0;
    for (const TableRow &row : *rows) {
        const auto item = parseRow<InboxItem>(row);
        if (!item.ok()) {
            logFailure("cell", "cannot parse the inbox row", item.status(), {{"row", row.key}});
            continue;
        }
        if (item->kind == InboxKind::Cancel) {
            m_scheduler.noteCancel(item->spec.job);
            if (!canRemoveCancellation(*item, now))
                continue;
        }
        const auto tasks = makeLedgerTasks(*item);
        added.tasks.insert(added.tasks.end(), tasks.begin(), tasks.end());
        change.conditions.push_back({row.key, row.version});
        change.writes.push_back({row.key, "", true});
        if (++consumed >= maxInboxItemsPerRound || added.tasks.size() >= maxInboxTasksPerRound)
            break;
    }
    if (!added.tasks.empty())
        pendingCommit.plan.changes.push_back(added);
    return true;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::sendTransfers(const CellEnvironment &environment,
                                                               const CellPlan &plan,
                                                               TableTransaction &change,
                                                               TimePoint now)
{
    const std::size_t targets = environment.transferTargets.size();
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
            inboxPrefix(environment.transferTargets[index]) + "transfer-" + makeUniqueId();
        change.conditions.push_back({key, 0});
        change.writes.push_back({key, jsonText(items[index])});
    }
}

/// Adds the ended tasks counted in `job` to the totals in its part row.
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
    return TableWrite{row->key, jsonText(total)};
}

/// Refunds the units of cancelled tasks that were never placed and so cannot have started.
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
        change.writes.push_back({row->key, jsonText(after)});
    }
    return true;
}

/// Adds ended tasks to the part rows of their jobs and refunds units, once per jobReportInterval.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
bool CellOwner<Table, Objects, Workers, Policy>::reportJobs(PendingCommit &pendingCommit,
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
        pendingCommit.plan.changes.insert(pendingCommit.plan.changes.begin(), report);
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
        m_store.objects().put(name, jsonText(m_scheduler.ledger().snapshot()), storeDeadline());
    if (!stored.ok())
        return;
    for (std::int64_t row = m_head.snapshotSequence + 1; row <= m_head.sequence; ++row)
        change.writes.push_back({cellLogKey(m_cell, row), "", true});
    head.snapshotSequence = m_head.sequence;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::decide(const CellEnvironment &environment,
                                                        const CellConditions &conditions,
                                                        TimePoint now)
{
    PendingCommit pendingCommit;
    TableTransaction change;
    pendingCommit.plan = m_scheduler.plan(conditions, now);
    planWorkers(environment, pendingCommit.plan);
    if (!reportJobs(pendingCommit, change, now) || !consumeInbox(pendingCommit, change, now))
        return;
    sendTransfers(environment, pendingCommit.plan, change, now);
    if (pendingCommit.plan.hasPlacements) {
        const std::string key = dataCentreKey(m_dataCentre);
        change.conditions.push_back({key, m_dataCentreState.rowVersion});
    }
    const bool nothingToCommit = pendingCommit.plan.changes.empty() && change.writes.empty();
    if (nothingToCommit && now < m_renewedAt + ownerRenewInterval)
        return;
    pendingCommit.head = nextHead(now);
    if (!pendingCommit.plan.changes.empty()) {
        ++pendingCommit.head.sequence;
        const std::string key = cellLogKey(m_cell, pendingCommit.head.sequence);
        change.writes.push_back({key, jsonText(pendingCommit.plan.changes)});
    }
    if (m_pendingCommits.empty())
        takeSnapshot(change, pendingCommit.head);
    commit(std::move(pendingCommit), std::move(change), now);
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::commit(PendingCommit pendingCommit,
                                                        TableTransaction change, TimePoint now)
{
    const std::string key = cellHeadKey(m_cell);
    change.conditions.push_back({key, m_headVersion});
    change.writes.push_back({key, jsonText(pendingCommit.head)});
    m_pendingCommits.push_back(std::move(pendingCommit));
    const auto result = m_store.table().commit(change, storeDeadline());
    if (!result.ok() && kindOf(result.status()) == ErrorKind::StoreUnavailable)
        m_pendingCommits.pop_back();
    if (!result.ok())
        return;
    if (!result->committed) {
        // An earlier commit may have taken effect, another process may own the cell, an operator
        // may have changed the data centre, or an inbox row may have changed. The epoch in the head
        // row shows whether another process owns the cell.
        m_pendingCommits.pop_back();
        const auto current = m_store.head(m_cell, storeDeadline());
        const bool lost = current.ok() && current->first.epoch != m_head.epoch;
        m_isOwner = m_isOwner && !lost;
        return;
    }
    const auto confirmed = m_store.table().read(key, storeDeadline());
    if (!confirmed.ok())
        return; // resolvePendingCommits() handles it in the next round
    const auto head = parseRow<CellHead>(*confirmed);
    if (!head.ok() || head->writeId != m_pendingCommits.back().head.writeId) {
        m_isOwner = false;
        return;
    }
    const PendingCommit applied = m_pendingCommits.back();
    applyCommitted(applied, confirmed->version, now);
    m_renewedAt = now;
}

template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
void CellOwner<Table, Objects, Workers, Policy>::release(TimePoint now)
{
    if (!m_isOwner || !resolvePendingCommits(now) || !m_isOwner)
        return;
    CellHead head = nextHead(now);
    head.owner = ProcessId();
    head.ownerLease = TimePoint();
    const std::string key = cellHeadKey(m_cell);
    m_isOwner = false;
    const auto result =
        m_store.table().commit({{{key, m_headVersion}}, {{key, jsonText(head)}}}, storeDeadline());
    if (!result.ok())
        logFailure("cell", "failed to release the cell", result.status(),
                   {{"cell", m_cell.text()}});
}

} // namespace lavenderarch
