// In-memory table service, used by lavender-standin and by unit tests.
#pragma once

#include "lavenderarch/storage/table_service.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace lavenderarch {

/// Thread-safe. Never fails; tests wrap it to inject faults.
class MemoryTable
{
public:
    StatusOr<TableRow> read(const std::string &key, TimePoint deadline);
    StatusOr<std::vector<TableRow>> scan(const std::string &prefix, TimePoint deadline);
    StatusOr<CommitResult> commit(const TableTransaction &change, TimePoint deadline);

    /// Number of transactions committed so far.
    std::int64_t commits() const;
    /// Number of reads and scans so far.
    std::int64_t reads() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, TableRow> m_rows; // guarded by m_mutex
    std::int64_t m_lastVersion = 0;         // versions are unique within the table
    std::int64_t m_commits = 0;
    std::int64_t m_reads = 0;
};

static_assert(TableService<MemoryTable>);

} // namespace lavenderarch
