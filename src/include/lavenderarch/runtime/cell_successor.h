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
        if (epoch != m_epoch) {
            m_epoch = epoch;
            forget();
        }
        if (epoch == 0 || now < m_nextUpdate)
            return;
        if (!m_registered)
            registerSelf(watch);
        if (m_registered)
            updateRows(now + readAheadTimeout, stop);
        m_nextUpdate = BootClock::now() + readAheadInterval;
    }

    /// Lets another process register instead of this one, which is stopping.
    void resign()
    {
        if (!m_registered)
            return;
        const Status resigned = store({"", m_epoch}, std::nullopt).status();
        if (!resigned.ok())
            logFailure("cell", "cannot resign as the successor", resigned, {{"cell", m_cell}});
        forget();
    }

    /// Time after which the owner row is read again.
    Milliseconds interval() const { return m_registered ? handoverInterval : watchInterval; }
    /// The rows that were read ahead; nothing without a planned handover to this process.
    std::optional<CellRows> takeRows() { return std::exchange(m_rows, std::nullopt); }

private:
    void forget()
    {
        m_rows.reset();
        m_registered = false;
        m_nextUpdate = {};
    }

    /// Registers unless another process has done so and has not resigned.
    void registerSelf(OwnershipWatch &watch)
    {
        const auto row = m_store.readOne(cells::successorRowKey(m_cell),
                                         BootClock::now() + ownershipCallTimeout);
        if (!row.ok())
            return;
        SuccessorRecord known;
        if (row->version != 0) {
            const auto record = parseAs<SuccessorRecord>(row->value, "successor row");
            if (record.ok())
                known = *record;
        }
        m_registered = known == SuccessorRecord{m_process, m_epoch};
        if (!m_registered && (known.epoch < m_epoch || known.process.empty())) {
            const auto commit = store({m_process, m_epoch}, row->version);
            if (!commit.ok())
                return;
            m_registered = commit->committed;
        }
        watch.setSuccessor(m_epoch, m_registered);
        if (m_registered)
            logEvent(LogLevel::Info, "cell", "reading the cell ahead of its planned handover",
                     {{"cell", m_cell}, {"epoch", std::to_string(m_epoch)}});
    }

    StatusOr<RowCommit> store(const SuccessorRecord &record, std::optional<std::int64_t> version)
    {
        const RowKey key = cells::successorRowKey(m_cell);
        RowTransaction change;
        if (version)
            change.conditions.push_back({key, *version});
        change.writes.push_back({key, jsonText(record), false});
        return m_store.commit(change, BootClock::now() + ownershipCallTimeout);
    }

    void updateRows(BootTime deadline, const std::stop_token &stop)
    {
        if (m_rows && updateCell(m_store, m_cell, *m_rows, deadline).ok())
            return;
        auto rows = readCell(m_store, m_cell, deadline, stop);
        m_rows.reset();
        if (rows.ok())
            m_rows = *std::move(rows);
    }

    Store &m_store;
    const std::string m_cell;
    const std::string m_process;
    std::int64_t m_epoch = 0;  // of the owner that is leaving; 0: none is
    bool m_registered = false; // this process is its successor
    std::optional<CellRows> m_rows;
    BootTime m_nextUpdate{};
};

} // namespace lavenderarch
