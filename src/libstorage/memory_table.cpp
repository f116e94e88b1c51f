// In-memory table service.
#include "lavenderarch/storage/memory_table.h"

namespace lavenderarch {

StatusOr<TableRow> MemoryTable::read(const std::string &key, TimePoint)
{
    const std::scoped_lock lock(m_mutex);
    ++m_reads;
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? TableRow{key, "", 0} : found->second;
}

StatusOr<std::vector<TableRow>> MemoryTable::scan(const std::string &prefix, TimePoint)
{
    const std::scoped_lock lock(m_mutex);
    ++m_reads;
    std::vector<TableRow> rows;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0)
            break;
        rows.push_back(it->second);
    }
    return rows;
}

StatusOr<CommitResult> MemoryTable::commit(const TableTransaction &change, TimePoint)
{
    const std::scoped_lock lock(m_mutex);
    CommitResult result;
    for (const TableCondition &condition : change.conditions) {
        const auto found = m_rows.find(condition.key);
        const std::int64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (version != condition.version)
            result.conflicts.push_back(condition.key);
    }
    if (!result.conflicts.empty())
        return result;
    ++m_commits;
    for (const TableWrite &write : change.writes) {
        if (write.remove)
            m_rows.erase(write.key);
        else
            m_rows[write.key] = {write.key, write.value, ++m_lastVersion};
    }
    result.committed = true;
    return result;
}

std::int64_t MemoryTable::commits() const
{
    const std::scoped_lock lock(m_mutex);
    return m_commits;
}

std::int64_t MemoryTable::reads() const
{
    const std::scoped_lock lock(m_mutex);
    return m_reads;
}

} // namespace lavenderarch
