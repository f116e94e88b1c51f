// A cell's rows in the table service and its snapshots in the object store.
#pragma once

#include "lavenderarch/scheduling/cell_head.h"
#include "lavenderarch/scheduling/cell_keys.h"
#include "lavenderarch/scheduling/cell_ledger.h"
#include "lavenderarch/storage/object_store.h"
#include "lavenderarch/storage/parse_row.h"
#include "lavenderarch/storage/table_service.h"

namespace lavenderarch {

/// Typed access to a cell's rows and snapshots. Thread-safe if the services are.
template <TableService Table, ObjectStore Objects>
class CellStore
{
public:
    CellStore(Table &table, Objects &objects)
        : m_table(table)
        , m_objects(objects)
    {
    }

    Table &table() { return m_table; }
    Objects &objects() { return m_objects; }

    /// Head of `cell` and the version of its row; epoch 0 and version 0 if there is no row.
    StatusOr<std::pair<CellHead, std::int64_t>> head(const CellId &cell, TimePoint deadline)
    {
        const auto row = m_table.read(cellHeadKey(cell), deadline);
        if (!row.ok())
            return row.status();
        if (row->version == 0)
            return std::pair(CellHead(), std::int64_t{0});
        const auto head = parseRow<CellHead>(*row);
        if (!head.ok())
            return head.status();
        return std::pair(*head, row->version);
    }

    /// Ledger at `head`, built from the snapshot and the log rows after it. Fails with
    /// ErrorKind::Internal if a log row is missing or the snapshot is malformed.
    StatusOr<CellLedger> ledger(const CellHead &head, TimePoint deadline)
    {
        CellLedger ledger;
        if (head.snapshotSequence > 0) {
            const auto restored = snapshot(head, deadline);
            if (!restored.ok())
                return restored.status();
            ledger = *restored;
        }
        const auto rows = m_table.scan(cellLogPrefix(head.cell), deadline);
        if (!rows.ok())
            return rows.status();
        std::int64_t next = head.snapshotSequence + 1;
        for (const TableRow &row : *rows) {
            if (row.key != cellLogKey(head.cell, next))
                continue; // already part of the snapshot
            const auto changes = parseRow<std::vector<LedgerChange>>(row);
            if (!changes.ok())
                return changes.status();
            ledger.apply(*changes);
            ++next;
        }
        if (next <= head.sequence)
            return makeError(ErrorKind::Internal, "log of cell " + head.cell.text() +
                                                      " lacks row " + std::to_string(next));
        return ledger;
    }

private:
    StatusOr<CellLedger> snapshot(const CellHead &head, TimePoint deadline)
    {
        const auto bytes =
            m_objects.get(cellSnapshotName(head.cell, head.snapshotSequence), deadline);
        if (!bytes.ok())
            return bytes.status();
        const auto parsed = parseJson(*bytes, "snapshot");
        if (!parsed.ok())
            return parsed.status();
        return CellLedger::restore(*parsed);
    }

    Table &m_table;
    Objects &m_objects;
};

} // namespace lavenderarch
