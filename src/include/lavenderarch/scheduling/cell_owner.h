// One process's side of one cell: takes it over, commits decisions, commands workers.
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
inline constexpr Milliseconds workerRetryPause{1000};
inline constexpr Milliseconds ownerRenewInterval{3000};
inline constexpr Milliseconds jobReportInterval{1000};
/// How long a cancellation also meets tasks that arrive later, from another cell.
inline constexpr Milliseconds cancelRetention{60'000};
inline constexpr std::int64_t logRowsPerSnapshot = 100;

/// Call round() again and again, from one thread. Nothing is decided outside a committed
/// transaction that checks the head row; placements also check the data centre's row.
/// During an outage of the table service nothingToCommit new is decided, but leases of running
/// tasks are renewed up to the committed horizon.
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

    void round(const CellEnvironment &environment, TimePoint now);
    /// Gives the cell back, so that another process takes it over at once.
    void release(TimePoint now);

    bool isOwner() const { return m_isOwner; }
    const CellHead &head() const { return m_head; }
    const CellScheduler<Policy> &scheduler() const { return m_scheduler; }

private:
    /// A transaction on its way, kept until it is known whether it took effect.
    struct Attempt
    {
        CellHead head;
        CellPlan plan;
    };

    static TimePoint storeDeadline() { return SystemClock().now() + storeCallTimeout; }

    void tryTakeOver(TimePoint now);
    bool resolveAttempts(TimePoint now);
    void applyCommitted(const Attempt &attempt, std::int64_t rowVersion, TimePoint now);
    void collectReports(TimePoint now);
    void sendCommands(const CellConditions &conditions, TimePoint now);
    StatusOr<CellConditions> readConditions(const CellEnvironment &environment, TimePoint now);
    CellConditions cachedConditions(const CellEnvironment &environment) const;
    void decide(const CellEnvironment &environment, const CellConditions &conditions,
                TimePoint now);
    void planWorkers(const CellEnvironment &environment, CellPlan &plan) const;
    bool consumeInbox(Attempt &attempt, TableTransaction &change, TimePoint now);
    bool canRemoveCancellation(const InboxItem &item, TimePoint now) const;
    void sendTransfers(const CellEnvironment &environment, const CellPlan &plan,
                       TableTransaction &change, TimePoint now);
    bool reportJobs(Attempt &attempt, TableTransaction &change, TimePoint now);
    StatusOr<TableWrite> jobPartRow(const JobProgress &job, TableTransaction &change);
    bool refund(const std::map<CustomerName, std::int64_t> &refunds, TableTransaction &change);
    void commit(Attempt attempt, TableTransaction change, TimePoint now);
    void takeSnapshot(TableTransaction &change, CellHead &head);
    CellHead nextHead(TimePoint now) const;

    CellId m_cell;
    DataCentreName m_dataCentre;
    ProcessId m_self;
    CellStore<Table, Objects> m_store;
    Workers &m_workers;
    CellScheduler<Policy> m_scheduler;
    bool m_isOwner = false;
    CellHead m_head;                 // as of m_headVersion
    std::int64_t m_headVersion = 0;  // version of the head row
    std::vector<Attempt> m_attempts; // sent since m_headVersion, outcome unknown
    DataCentreState m_dataCentreState;
    TimePoint m_renewedAt;
    TimePoint m_jobsReportedAt;
    std::map<WorkerId, TimePoint> m_workerRetryAt; // workers that did not answer
};

} // namespace lavenderarch

#include "lavenderarch/scheduling/cell_owner_impl.h"
