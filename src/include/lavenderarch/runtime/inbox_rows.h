// Changed rows of a cell's inbox on their way from the follower's thread to the dispatcher.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/storage/row.h"

#include <algorithm>
#include <atomic>
#include <iterator>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace lavenderarch {

/// Keeps the follower from waiting for the lock of the dispatcher, for which all agents compete:
/// the age of the inbox limits how long tasks may be started. One thread adds rows and hands them
/// over; take() and isPending() are thread-safe. Its lock is a leaf.
class InboxRows
{
public:
    /// Rows that are current as of a time.
    struct Batch
    {
        std::vector<Row> rows;
        BootTime asOf{};
    };

    void add(const Row &row) { m_added.push_back(row); }
    /// Hands over the added rows. All changes of the inbox stored by `asOf` are among them.
    void handOver(BootTime asOf)
    {
        const std::scoped_lock lock(m_mutex);
        std::move(m_added.begin(), m_added.end(), std::back_inserter(m_batch.rows));
        m_added.clear();
        m_batch.asOf = asOf;
        m_pending = true;
    }
    /// True when take() has a result.
    bool isPending() const { return m_pending; }
    /// Returns all rows that were handed over since the last call.
    std::optional<Batch> take()
    {
        if (!m_pending)
            return std::nullopt;
        const std::scoped_lock lock(m_mutex);
        m_pending = false;
        return std::exchange(m_batch, {});
    }
    /// Forgets all rows. Only while no thread adds any.
    void clear()
    {
        const std::scoped_lock lock(m_mutex);
        m_added.clear();
        m_batch = {};
        m_pending = false;
    }

private:
    std::vector<Row> m_added; // used by the adding thread only
    std::mutex m_mutex;
    Batch m_batch; // guarded by m_mutex
    std::atomic<bool> m_pending{false};
};

} // namespace lavenderarch
