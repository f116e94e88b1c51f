// Writes inbox rows of ended jobs on a thread of its own, so that commits do not wait for them.
#pragma once

#include "lavenderarch/runtime/owner_fence.h"
#include "lavenderarch/storage/row_store.h"
#include "lavenderarch/telemetry/log.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace lavenderarch {

/// Delay between two attempts of a write.
inline constexpr Milliseconds inboxRetryPause{500};

/// Runs from construction to destruction, which drops what is not written yet. Thread-safe. Does
/// not own the store, which must outlive it.
template <RowStore Store>
class InboxWriter
{
public:
    InboxWriter(Store &store, std::string cell)
        : m_store(store)
        , m_cell(std::move(cell))
        , m_thread([this](const std::stop_token &stop) { run(stop); })
    {
    }

    /// Writes the rows of one partition later, in one transaction and after those added before. It
    /// is repeated until the store has carried it out: a job whose row keeps its specification when
    /// its progress expires would be taken for a new one. A transaction that the store refuses as
    /// invalid is dropped.
    void add(std::vector<RowWrite> writes)
    {
        const std::scoped_lock lock(m_mutex);
        m_changes.push_back({{}, std::move(writes)});
        m_added.notify_one();
    }

private:
    void run(const std::stop_token &stop)
    {
        bool failing = false;
        while (true) {
            RowTransaction change;
            {
                std::unique_lock lock(m_mutex);
                if (failing)
                    m_added.wait_for(lock, stop, inboxRetryPause, [] { return false; });
                m_added.wait(lock, stop, [&] { return !m_changes.empty(); });
                if (stop.stop_requested())
                    return;
                change = m_changes.front();
            }
            const auto done = m_store.commit(change, BootClock::now() + ownershipCallTimeout);
            if (!done.ok() && !failing)
                logFailure("cell", "cannot write the inbox rows of ended jobs", done.status(),
                           {{"cell", m_cell}});
            failing = !done.ok() && kindOf(done.status()) != ErrorKind::Internal;
            if (failing)
                continue;
            const std::scoped_lock lock(m_mutex);
            m_changes.pop_front();
        }
    }

    Store &m_store;
    const std::string m_cell;
    std::mutex m_mutex;
    std::condition_variable_any m_added;
    std::deque<RowTransaction> m_changes; // guarded by m_mutex
    std::jthread m_thread;                // declared last, so joined first
};

} // namespace lavenderarch
