// In-memory RowStore for tests, with injected commit failures.
#pragma once

#include "lavenderarch/storage/row_store.h"

#include <algorithm>
#include <condition_variable>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace lavenderarch::testing {

/// Thread-safe. Faults apply to commits only. readOne() always succeeds; reads of partitions can be
/// held back or fail, and the change feed can lose its history.
class MemoryRows
{
public:
    enum class Fault {
        None,
        Refuse,       ///< the commit fails with StoreUnavailable and has no effect
        LoseResponse, ///< the commit takes effect but reports OutcomeUnknown
        Delay         ///< the commit reports OutcomeUnknown; carryOutDelayed() carries it out
    };

    void setFault(Fault fault)
    {
        const std::scoped_lock lock(m_mutex);
        m_fault = fault;
    }
    /// While held, reads of the table's partitions wait until they are let go or time out.
    void holdReads(const std::string &table)
    {
        const std::scoped_lock lock(m_mutex);
        m_heldTable = table;
    }
    void letReadsGo()
    {
        const std::scoped_lock lock(m_mutex);
        m_heldTable.clear();
        m_changed.notify_all();
    }
    /// Commits that write the row wait, regardless of their deadline, until they are let go.
    void holdCommits(const RowKey &key)
    {
        const std::scoped_lock lock(m_mutex);
        m_heldRow = key;
    }
    /// Commits that are waiting.
    int heldCommits() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_heldCommits;
    }
    void letCommitsGo()
    {
        const std::scoped_lock lock(m_mutex);
        m_heldRow.reset();
        m_changed.notify_all();
    }
    /// Number of calls of readOne().
    int singleReads() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_singleReads;
    }
    /// Number of pages of the table that were read.
    int pageReads(const std::string &table) const
    {
        const std::scoped_lock lock(m_mutex);
        const auto reads = m_pageReads.find(table);
        return reads == m_pageReads.end() ? 0 : reads->second;
    }
    int commits() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_commits;
    }
    /// Number of calls of commit(), also of those that failed.
    int attempts() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_attempts;
    }

    /// Size of the values of the largest commit, also of those that failed.
    std::size_t largestCommitBytes() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_largestCommitBytes;
    }

    /// Carries out the delayed commits whose conditions hold.
    void carryOutDelayed()
    {
        const std::scoped_lock lock(m_mutex);
        for (const RowTransaction &change : std::exchange(m_delayed, {}))
            apply(change);
    }

    /// Drops the changes so far, so that followers must read the rows again.
    void forgetHistory()
    {
        const std::scoped_lock lock(m_mutex);
        m_changes.clear();
        m_oldestFollowable = ++m_version;
        m_changed.notify_all();
    }
    /// The next `count` reads fail with StoreUnavailable.
    void failReads(int count)
    {
        const std::scoped_lock lock(m_mutex);
        m_failingReads = count;
    }

    StatusOr<RowCommit> commit(const RowTransaction &change, BootTime)
    {
        std::unique_lock lock(m_mutex);
        ++m_attempts;
        std::size_t bytes = 0;
        for (const RowWrite &write : change.writes)
            bytes += write.value.size();
        m_largestCommitBytes = std::max(m_largestCommitBytes, bytes);
        ++m_heldCommits;
        m_changed.wait(lock, [&] { return !m_heldRow || !writesRow(change, *m_heldRow); });
        --m_heldCommits;
        if (m_fault == Fault::Refuse)
            return makeError(ErrorKind::StoreUnavailable, "refused");
        if (m_fault == Fault::Delay) {
            m_delayed.push_back(change);
            return makeError(ErrorKind::OutcomeUnknown, "no answer in time");
        }
        const RowCommit result = apply(change);
        if (m_fault == Fault::LoseResponse)
            return makeError(ErrorKind::OutcomeUnknown, "the response was lost");
        return result;
    }

    StatusOr<RowRange> read(const std::string &table, const std::string &partition,
                            BootTime deadline)
    {
        const auto page =
            readRows(table, partition, "", std::numeric_limits<std::size_t>::max(), deadline);
        return page.ok() ? StatusOr<RowRange>(page->range) : StatusOr<RowRange>(page.status());
    }

    StatusOr<RowPage> readPage(const std::string &table, const std::string &partition,
                               const std::string &from, BootTime deadline)
    {
        return readRows(table, partition, from, pageRows, deadline);
    }

    StatusOr<Row> readOne(const RowKey &key, BootTime)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_singleReads;
        const auto row = m_rows.find(key);
        return row == m_rows.end() ? Row{key, "", 0, false} : row->second;
    }

    StatusOr<RowRange> changes(const std::string &table, std::int64_t version, BootTime)
    {
        return follow(table, version, BootClock::now());
    }

    StatusOr<RowRange> follow(const std::string &table, std::int64_t version, BootTime deadline)
    {
        std::unique_lock lock(m_mutex);
        RowRange range;
        while (true) {
            if (version < m_oldestFollowable)
                return makeError(ErrorKind::NotFound, "the history was dropped");
            range.rows.clear();
            range.version = m_version;
            for (const Row &row : m_changes) {
                if (row.version > version && row.key.table == table)
                    range.rows.push_back(row);
            }
            const BootTime now = BootClock::now();
            if (!range.rows.empty() || now >= deadline)
                return range;
            m_changed.wait_for(lock, deadline - now);
        }
    }

private:
    /// Small, so that a few rows take several pages.
    static constexpr std::size_t pageRows = 3;

    /// Requires m_mutex.
    RowCommit apply(const RowTransaction &change)
    {
        RowCommit result;
        result.committed = true;
        for (const RowCondition &condition : change.conditions) {
            const auto row = m_rows.find(condition.key);
            const std::int64_t version = row == m_rows.end() ? 0 : row->second.version;
            result.committed = result.committed && version == condition.version;
            if (row != m_rows.end())
                result.current.push_back(row->second);
        }
        if (result.committed) {
            ++m_commits;
            result.version = ++m_version;
            result.current.clear();
            for (const RowWrite &write : change.writes) {
                m_changes.push_back({write.key, write.value, m_version, write.remove});
                if (write.remove)
                    m_rows.erase(write.key);
                else
                    m_rows[write.key] = m_changes.back();
            }
            m_changed.notify_all();
        }
        return result;
    }

    static bool writesRow(const RowTransaction &change, const RowKey &key)
    {
        return std::any_of(change.writes.begin(), change.writes.end(),
                           [&](const RowWrite &write) { return write.key == key; });
    }

    StatusOr<RowPage> readRows(const std::string &table, const std::string &partition,
                               const std::string &from, std::size_t limit, BootTime deadline)
    {
        std::unique_lock lock(m_mutex);
        ++m_pageReads[table];
        while (m_heldTable == table) {
            const BootTime now = BootClock::now();
            if (now >= deadline)
                return makeError(ErrorKind::StoreUnavailable, "timed out");
            m_changed.wait_for(lock, deadline - now);
        }
        if (m_failingReads > 0) {
            --m_failingReads;
            return makeError(ErrorKind::StoreUnavailable, "refused");
        }
        RowPage page;
        page.range.version = m_version;
        for (const auto &[key, row] : m_rows) {
            if (key.table != table || key.partition != partition || key.key < from)
                continue;
            page.more = page.range.rows.size() == limit;
            if (page.more)
                break;
            page.range.rows.push_back(row);
        }
        return page;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Fault m_fault = Fault::None;
    int m_commits = 0;
    int m_attempts = 0;
    std::size_t m_largestCommitBytes = 0;
    int m_failingReads = 0;
    int m_singleReads = 0;
    std::map<std::string, int> m_pageReads; // by table
    std::string m_heldTable;                // its partitions cannot be read
    std::optional<RowKey> m_heldRow;
    std::vector<RowTransaction> m_delayed; // not carried out yet
    int m_heldCommits = 0;
    std::int64_t m_version = 0;
    std::int64_t m_oldestFollowable = 0;
    std::map<RowKey, Row> m_rows;
    std::vector<Row> m_changes;
};

static_assert(RowStore<MemoryRows>);

} // namespace lavenderarch::testing
