// Owner of one cell in one process: takes the cell over, commits decisions, commands workers.
#pragma once

#include "lavenderarch/config/data_centre_store.h"
#include "lavenderarch/core/random.h"
#include "lavenderarch/scheduling/cell_environment.h"
#include "lavenderarch/scheduling/cell_scheduler.h"
#include "lavenderarch/scheduling/cell_store.h"
#include "lavenderarch/scheduling/inbox_item.h"
#include "lavenderarch/scheduling/voucher_balance.h"
#include "lavenderarch/storage/worker_gateway.h"

namespace lavenderarch {

inline constexpr Milliseconds storeCallTimeout{1000};
inline constexpr Milliseconds workerCallTimeout{300};
inline constexpr Milliseconds workerRetryDelay{1000};
inline constexpr Milliseconds ownerRenewInterval{3000};
inline constexpr Milliseconds jobReportInterval{1000};
/// How long a cancellation also applies to tasks that arrive later by transfer from another cell.
inline constexpr Milliseconds cancelRetention{60'000};
inline constexpr std::int64_t logRowsPerSnapshot = 100;

/// Call round() repeatedly, from one thread. Every decision takes effect through a transaction with
/// a condition on the head row; placements also require the data centre's row unchanged.
/// During an outage of the table service no new decisions take effect, but leases of running tasks
/// are renewed up to the committed horizon.
template <TableService Table, ObjectStore Objects, WorkerGateway Workers, SchedulingPolicy Policy>
class CellOwner
{
public:
    CellOwner(CellId cell, DataCentreName dataCentre, ProcessId self, Table &table,
              Objects &objects, Workers &workers)
        : m_cell(std::move(cell))
        , m_dataCentre(std::move(dataCentre))
        , m_self(std::move(self))
        , m_store(table, objects)
        , m_workers(workers)
    {
    }

    /// Takes the cell over if it is free, or runs one scheduling round if this process owns it.
    void round(const CellEnvironment &environment, TimePoint now);
    /// Releases ownership, so that another process can take the cell over before the lease expires.
    void release(TimePoint now);

    bool isOwner() const { return m_isOwner; }
    const CellHead &head() const { return m_head; }
    const CellScheduler<Policy> &scheduler() const { return m_scheduler; }

private:
    /// A transaction that was sent and whose outcome is unknown.
    struct PendingCommit
    {
        CellHead head;
        CellPlan plan;
    };

    static TimePoint storeDeadline() { return SystemClock().now() + storeCallTimeout; }

    void tryTakeOver(TimePoint now);
    bool resolvePendingCommits(TimePoint now);
    void applyCommitted(const PendingCommit &pendingCommit, std::int64_t rowVersion, TimePoint now);
    void collectReports(TimePoint now);
    void sendCommands(const CellConditions &conditions, TimePoint now);
    StatusOr<CellConditions> readConditions(const CellEnvironment &environment, TimePoint now);
    CellConditions cachedConditions(const CellEnvironment &environment) const;
    void decide(const CellEnvironment &environment, const CellConditions &conditions,
                TimePoint now);
    void planWorkers(const CellEnvironment &environment, CellPlan &plan) const;
    bool consumeInbox(PendingCommit &pendingCommit, TableTransaction &change, TimePoint now);
    bool canRemoveCancellation(const InboxItem &item, TimePoint now) const;
    void sendTransfers(const CellEnvironment &environment, const CellPlan &plan,
                       TableTransaction &change, TimePoint now);
    bool reportJobs(PendingCommit &pendingCommit, TableTransaction &change, TimePoint now);
    StatusOr<TableWrite> jobPartRow(const JobProgress &job, TableTransaction &change);
    bool refund(const std::map<CustomerName, std::int64_t> &refunds, TableTransaction &change);
    void commit(PendingCommit pendingCommit, TableTransaction change, TimePoint now);
    void takeSnapshot(TableTransaction &change, CellHead &head);
    CellHead nextHead(TimePoint now) const;

    CellId m_cell;
    DataCentreName m_dataCentre;
    ProcessId m_self;
    CellStore<Table, Objects> m_store;
    Workers &m_workers;
    CellScheduler<Policy> m_scheduler;
    bool m_isOwner = false;
    CellHead m_head;                             // content of the head row at m_headVersion
    std::int64_t m_headVersion = 0;              // version of the head row
    std::vector<PendingCommit> m_pendingCommits; // sent since m_headVersion, outcome unknown
    DataCentreState m_dataCentreState;
    TimePoint m_renewedAt;
    TimePoint m_jobsReportedAt;
    std::map<WorkerId, TimePoint> m_workerRetryAt; // next call to an unresponsive worker
};

} // namespace lavenderarch

#include "lavenderarch/scheduling/cell_owner_impl.h"
