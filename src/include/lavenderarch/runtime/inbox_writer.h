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

    /// Writes the rows of one partition later, in one transaction and after those added before.
    /// Rows for which this fails stay until a later owner loads the cell and finds the jobs
    /// settled.
    void add(std::vector<RowWrite> writes)
    {
        const std::scoped_lock lock(m_mutex);
        m_changes.push_back({{}, std::move(writes)});
        m_added.notify_one();
    }

private:
    void run(const std::stop_token &stop)
    {
        while (true) {
            RowTransaction change;
            {
                std::unique_lock lock(m_mutex);
                m_added.wait(lock, stop, [&] { return !m_changes.empty(); });
                if (stop.stop_requested())
                    return;
                change = std::move(m_changes.front());
                m_changes.pop_front();
            }
            const auto done = m_store.commit(change, BootClock::now() + ownershipCallTimeout);
            if (!done.ok())
                logFailure("cell", "cannot write the inbox rows of ended jobs", done.status(),
                           {{"cell", m_cell}});
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
