// The owner row of a cell: its takeover, and commits on the condition that it is unchanged.
#pragma once

#include "lavenderarch/core/random.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/ownership_watch.h"
#include "lavenderarch/runtime/adaptive_timeout.h"
#include "lavenderarch/storage/row_store.h"
#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/metrics.h"

#include <atomic>

namespace lavenderarch {

/// Timeout of one read or write during a change of ownership.
inline constexpr Milliseconds ownershipCallTimeout{800};

/// Used by one thread, except for renewedAt(). Does not own the store or the metrics.
///
/// Each commit rewrites the owner row on the condition that it is unchanged, so that a process that
/// has lost the cell cannot write. A commit without an answer must be repeated with the same
/// rows until its outcome is known.
template <RowStore Store>
class OwnerFence
{
public:
    enum class Outcome {
        Stored,
        Unconfirmed, ///< not stored, or stored without an answer
        Lost         ///< another owner has written the row
    };

    OwnerFence(Store &store, Metrics &metrics, std::string cell, std::string owner,
               std::string address)
        : m_store(store)
        , m_metrics(metrics)
        , m_cell(std::move(cell))
        , m_owner(std::move(owner))
        , m_address(std::move(address))
    {
    }

    /// Reads the owner row; true when `watch` allows a takeover.
    bool claimable(OwnershipWatch &watch)
    {
        const BootTime sentAt = BootClock::now();
        const auto row = m_store.readOne(cells::ownerRowKey(m_cell), sentAt + ownershipCallTimeout);
        if (!row.ok()) {
            watch.readFailed();
            return false;
        }
        m_record = {};
        if (row->version != 0) {
            const auto record = parseAs<OwnerRecord>(row->value, "owner row");
            if (record.ok() && record->epoch >= 0 && record->epoch <= maxExactInteger)
                m_record = *record;
            else
                m_record = unreadableRecord(*row, record.status());
        }
        m_version = row->version;
        return watch.observe(m_record, row->version, sentAt, BootClock::now());
    }

    /// Makes this process the owner in the next epoch, which is above all former ones, on the
    /// condition that the row is as claimable() has read it.
    bool claim(const OwnershipWatch &watch)
    {
        const OwnerRecord previous = m_record;
        m_record = {m_owner,
                    m_address,
                    previous.epoch + 1,
                    0,
                    "",
                    false,
                    false,
                    std::max(previous.largestMilliCores, watch.milliCores())};
        if (commit({}, BootClock::now() + ownershipCallTimeout * 2) != Outcome::Stored)
            return false;
        const std::string reason(reasonName(watch.reason()));
        logEvent(LogLevel::Info, "cell", "cell taken over",
                 {{"cell", m_cell},
                  {"epoch", std::to_string(m_record.epoch)},
                  {"formerOwner", previous.owner},
                  {"reason", reason},
                  {"rowUnchangedMs", std::to_string(watch.unchangedFor().count())}});
        m_metrics.increment("lavender_cell_takeovers", {{"reason", reason}});
        return true;
    }

    /// Reads the owner row; true when another process has taken over.
    bool succeeded()
    {
        const auto row =
            m_store.readOne(cells::ownerRowKey(m_cell), BootClock::now() + ownershipCallTimeout);
        if (!row.ok() || row->version == 0)
            return false;
        const auto record = parseAs<OwnerRecord>(row->value, "owner row");
        return record.ok() && record->owner != m_owner && !record->released;
    }

    /// Makes one attempt, with a timeout that adapts to the store's latency, to store `writes`.
    Outcome commit(const std::vector<RowWrite> &writes)
    {
        return commit(writes, BootClock::now() + m_commitTimeout.current());
    }

    /// The next commits tell that the cell will be released soon. Not while a commit is
    /// unconfirmed.
    void announceRelease() { m_record.leaving = true; }

    /// Marks the cell as released, so that another process can take it over at once.
    void release()
    {
        m_record.released = true;
        const Outcome outcome = commit({}, BootClock::now() + ownershipCallTimeout);
        logEvent(LogLevel::Info, "cell", "cell released",
                 {{"cell", m_cell},
                  {"epoch", std::to_string(m_record.epoch)},
                  {"confirmed", outcome == Outcome::Stored ? "yes" : "no"}});
    }

    std::int64_t epoch() const { return m_record.epoch; }
    std::int64_t sequence() const { return m_record.sequence; }
    /// When the latest stored renewal was sent, or the first attempt of it if it is not known which
    /// one was stored. Thread-safe.
    BootTime renewedAt() const { return m_renewedAt.load(); }

private:
    /// What takes the place of a row that another writer has left. Each takeover is a transaction
    /// and raises the epoch by one, so no epoch is above the version of the row.
    OwnerRecord unreadableRecord(const Row &row, const Status &error)
    {
        if (std::exchange(m_unreadableVersion, row.version) != row.version)
            logFailure("cell", "cannot read the owner row; it may be taken over like an idle one",
                       error, {{"cell", m_cell}, {"rowVersion", std::to_string(row.version)}});
        OwnerRecord record;
        record.epoch = row.version;
        return record;
    }

    Outcome commit(const std::vector<RowWrite> &writes, BootTime deadline)
    {
        const RowKey key = cells::ownerRowKey(m_cell);
        OwnerRecord next = m_record;
        ++next.sequence;
        const BootTime sentAt = BootClock::now();
        if (m_pendingMark.empty()) {
            m_pendingMark = makeUniqueId().substr(0, 12);
            m_pendingSince = sentAt;
        }
        next.mark = m_pendingMark;
        RowTransaction change;
        change.conditions.push_back({key, m_version});
        change.writes = writes;
        change.writes.push_back({key, jsonText(next), false});
        const auto commit = m_store.commit(change, deadline);
        if (!commit.ok()) {
            if (kindOf(commit.status()) == ErrorKind::OutcomeUnknown)
                m_commitTimeout.recordTimeout();
            m_metrics.increment("lavender_commit_failures");
            return Outcome::Unconfirmed;
        }
        m_commitTimeout.recordLatency(BootClock::now() - sentAt);
        countCommit(change);
        if (!commit->committed && !isOwnWrite(*commit, next)) {
            m_pendingMark.clear();
            return Outcome::Lost;
        }
        if (commit->committed)
            m_version = commit->version;
        m_record = next;
        m_pendingMark.clear();
        // Others count from when the row changed, which an earlier attempt may have done.
        m_renewedAt = commit->committed ? sentAt : m_pendingSince;
        return Outcome::Stored;
    }

    void countCommit(const RowTransaction &change)
    {
        std::size_t bytes = 0;
        for (const RowWrite &write : change.writes)
            bytes += write.value.size();
        m_metrics.increment("lavender_commits_total");
        m_metrics.increment("lavender_commit_rows_total", {},
                            static_cast<double>(change.writes.size()));
        m_metrics.increment("lavender_commit_bytes_total", {}, static_cast<double>(bytes));
    }

    /// True when an earlier attempt of the same write took effect; adopts the version of its row.
    bool isOwnWrite(const RowCommit &commit, const OwnerRecord &next)
    {
        for (const Row &row : commit.current) {
            if (row.key == cells::ownerRowKey(m_cell) && row.value == jsonText(next)) {
                m_version = row.version;
                return true;
            }
        }
        return false;
    }

    Store &m_store;
    Metrics &m_metrics;
    const std::string m_cell;
    const std::string m_owner;
    const std::string m_address;
    OwnerRecord m_record;                 // as last written or read
    std::int64_t m_version = 0;           // of the owner row
    std::int64_t m_unreadableVersion = 0; // of the owner row when it was last not readable
    AdaptiveTimeout m_commitTimeout;
    std::string m_pendingMark; // of a write with unknown outcome
    BootTime m_pendingSince{}; // when its first attempt was sent
    std::atomic<BootTime> m_renewedAt{BootTime{}};
};

} // namespace lavenderarch
