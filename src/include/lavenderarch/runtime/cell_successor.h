// Reads a cell ahead of its planned handover, while its owner still serves it.
#pragma once

#include "lavenderarch/dispatch/ownership_watch.h"
#include "lavenderarch/dispatch/successor_record.h"
#include "lavenderarch/runtime/cell_rows.h"
#include "lavenderarch/runtime/owner_fence.h"

#include <optional>

namespace lavenderarch {

/// Time between two reads of the owner row during a handover.
inline constexpr Milliseconds handoverInterval{50};
/// Timeout of reading a cell ahead.
inline constexpr Milliseconds readAheadTimeout{3000};
/// Time between two updates of the rows that were read ahead. The fewer changes are left at the
/// takeover, the sooner the new owner serves.
inline constexpr Milliseconds readAheadInterval{400};

/// One process registers as the successor of a leaving owner, so that the others do not read the
/// cell too. Used by one thread. Does not own the store, which must outlive it.
template <RowStore Store>
class CellSuccessor
{
public:
    CellSuccessor(Store &store, std::string cell, std::string process)
        : m_store(store)
        , m_cell(std::move(cell))
        , m_process(std::move(process))
    {
    }

    /// Registers as the successor of an owner that is leaving and keeps the cell's rows current;
    /// forgets them when no owner is leaving.
    void prepare(OwnershipWatch &watch, const std::stop_token &stop)
    {
        const BootTime now = BootClock::now();
        const std::int64_t epoch = watch.epochToReadAhead(now);
        if (epoch == 0) {
            m_rows.reset();
            m_registered = false;
            return;
        }
        if (epoch != m_knownEpoch)
            registerFor(epoch, watch);
        if (!m_registered || now < m_nextUpdate)
            return;
        const BootTime deadline = now + readAheadTimeout;
        if (!m_rows) {
            auto rows = readCell(m_store, m_cell, deadline, stop);
            if (rows.ok())
                m_rows = *std::move(rows);
        } else if (!updateCell(m_store, m_cell, *m_rows, deadline).ok()) {
            m_rows.reset();
        }
        m_nextUpdate = BootClock::now() + readAheadInterval;
    }

    /// Time after which the owner row is read again.
    Milliseconds interval() const { return m_registered ? handoverInterval : watchInterval; }
    /// The rows that were read ahead; nothing without a planned handover to this process.
    std::optional<CellRows> takeRows() { return std::exchange(m_rows, std::nullopt); }

private:
    void registerFor(std::int64_t epoch, OwnershipWatch &watch)
    {
        const RowKey key = cells::successorRowKey(m_cell);
        const BootTime deadline = BootClock::now() + ownershipCallTimeout;
        const auto row = m_store.readOne(key, deadline);
        if (!row.ok())
            return;
        const auto known = row->version == 0
                               ? StatusOr<SuccessorRecord>(SuccessorRecord{})
                               : parseAs<SuccessorRecord>(row->value, "successor row");
        bool registered = false;
        if (!known.ok() || known->epoch < epoch) {
            const SuccessorRecord record{m_process, epoch};
            RowTransaction change;
            change.conditions.push_back({key, row->version});
            change.writes.push_back({key, Json(record).dump(), false});
            const auto commit = m_store.commit(change, deadline);
            if (!commit.ok())
                return;
            registered = commit->committed;
        } else {
            registered = known->epoch == epoch && known->process == m_process;
        }
        m_knownEpoch = epoch;
        m_registered = registered;
        watch.setSuccessor(epoch, registered);
        if (registered)
            logEvent(LogLevel::Info, "cell", "reading the cell ahead of its planned handover",
                     {{"cell", m_cell}, {"epoch", std::to_string(epoch)}});
    }

    Store &m_store;
    const std::string m_cell;
    const std::string m_process;
    std::int64_t m_knownEpoch = -1; // of the owner whose successor is known
    bool m_registered = false;      // this process is that successor
    std::optional<CellRows> m_rows;
    BootTime m_nextUpdate{};
};

} // namespace lavenderarch
