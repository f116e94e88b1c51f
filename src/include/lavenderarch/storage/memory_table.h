// Table service held in memory: the core of the stand-in and of unit tests.
#pragma once

#include "lavenderarch/storage/table_service.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace lavenderarch {

/// Thread-safe. Never fails by itself; tests wrap it to bring about failures.
class MemoryTable
{
public:
    StatusOr<TableRow> read(const std::string &key, TimePoint deadline);
    StatusOr<std::vector<TableRow>> scan(const std::string &prefix, TimePoint deadline);
    StatusOr<CommitResult> commit(const TableTransaction &change, TimePoint deadline);

    std::int64_t commits() const;
    std::int64_t reads() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, TableRow> m_rows; // guarded by m_mutex
    std::int64_t m_lastVersion = 0;         // versions are unique over the whole table
    std::int64_t m_commits = 0;
    std::int64_t m_reads = 0;
};

static_assert(TableService<MemoryTable>);

} // namespace lavenderarch
