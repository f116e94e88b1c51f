// The stored rows of a cell, from which its dispatcher is rebuilt.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/runtime/table_rows.h"
#include "lavenderarch/storage/read_partition.h"

namespace lavenderarch {

struct CellRows
{
    TableRows jobs;
    TableRows progress;
    BootTime jobsAsOf{}; ///< all changes of jobs stored by then are included
};

/// Reads all rows of `cell`. Returns an error when they cannot be read until `deadline` or a stop
/// is requested before.
template <RowStore Store>
StatusOr<CellRows> readCell(Store &store, const std::string &cell, BootTime deadline,
                            const std::stop_token &stop)
{
    const BootTime began = BootClock::now();
    auto jobs = readPartition(store, cells::jobTable, cells::inbox(cell), deadline, stop);
    if (!jobs.ok())
        return jobs.status();
    auto progress = readPartition(store, cells::progressTable, cell, deadline, stop);
    if (!progress.ok())
        return progress.status();
    return CellRows{TableRows(std::move(jobs->rows), jobs->version),
                    TableRows(std::move(progress->rows), progress->version), began};
}

/// Applies all changes that were stored before the call. After an error the rows are still
/// consistent, and not current; NotFound when the changes are no longer kept.
template <RowStore Store>
Status updateCell(Store &store, const std::string &cell, CellRows &rows, BootTime deadline)
{
    const BootTime began = BootClock::now();
    const auto update = [&](const char *table, const std::string &partition, TableRows &kept) {
        const auto changes = store.changes(table, kept.version(), deadline);
        if (changes.ok())
            kept.apply(*changes, partition);
        return changes.status();
    };
    if (Status jobs = update(cells::jobTable, cells::inbox(cell), rows.jobs); !jobs.ok())
        return jobs;
    rows.jobsAsOf = began;
    return update(cells::progressTable, cell, rows.progress);
}

} // namespace lavenderarch
