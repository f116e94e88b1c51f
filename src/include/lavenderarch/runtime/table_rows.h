// The rows of one partition of a table, kept current with the changes of the table.
#pragma once

#include "lavenderarch/storage/row_range.h"

#include <algorithm>
#include <map>

namespace lavenderarch {

/// Rows of one table by key, and the version up to which all of its changes are included.
class TableRows
{
public:
    TableRows() = default;
    TableRows(std::vector<Row> rows, std::int64_t version)
        : m_version(version)
    {
        for (Row &row : rows)
            m_rows.emplace_hint(m_rows.end(), row.key.key, std::move(row));
    }

    /// Applies changes, which may be older than the rows.
    void apply(const RowRange &changes, const std::string &partition)
    {
        for (const Row &change : changes.rows) {
            if (change.key.partition != partition)
                continue;
            Row &row = m_rows[change.key.key];
            if (change.version >= row.version)
                row = change;
        }
        m_version = std::max(m_version, changes.version);
    }

    std::int64_t version() const { return m_version; }
    std::vector<Row> take() &&
    {
        std::vector<Row> rows;
        for (auto &[key, row] : m_rows) {
            if (!row.removed)
                rows.push_back(std::move(row));
        }
        return rows;
    }

private:
    std::map<std::string, Row> m_rows;
    std::int64_t m_version = 0;
};

} // namespace lavenderarch
