// Watches the ownership of one cell, takes it over when allowed and runs its CellDispatcher.
#pragma once

#include "lavenderarch/core/clock.h"
#include "lavenderarch/core/random.h"
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/ownership_watch.h"
#include "lavenderarch/dispatch/queue_catalog.h"
#include "lavenderarch/runtime/adaptive_timeout.h"
#include "lavenderarch/runtime/row_follower.h"
#include "lavenderarch/telemetry/metrics.h"

#include <condition_variable>
#include <mutex>

namespace lavenderarch {

/// Timeout of one read or write during a change of ownership.
inline constexpr Milliseconds ownershipCallTimeout{800};
/// Delay between two attempts of a commit.
inline constexpr Milliseconds cellCommitRetryPause{40};
/// Time between two checks of leases, stalled runs and due occurrences.
inline constexpr Milliseconds tickInterval{250};
/// Timeout of reading all rows of a cell, as at a takeover.
inline constexpr Milliseconds loadTimeout{3000};

/// Competes for the cell on a thread of its own until destruction. Does not own the store or the
/// metrics, which must outlive it. Thread-safe: m_mutex is the only lock, and no call to the store
/// is made while it is held.
template <RowStore Store>
class CellHost
{
public:
    CellHost(Store &store, Metrics &metrics, std::string cell, std::string owner,
             std::string address, DispatchLimits limits)
        : m_store(store)
        , m_metrics(metrics)
        , m_cell(std::move(cell))
        , m_owner(std::move(owner))
        , m_address(std::move(address))
        , m_limits(limits)
        , m_thread([this](const std::stop_token &stop) { run(stop); })
    {
    }
    ~CellHost()
    {
        m_thread.request_stop();
        m_work.notify_all();
    }
    CellHost(const CellHost &) = delete;
    CellHost &operator=(const CellHost &) = delete;

    /// Stops takeovers. A cell that is owned already stays owned.
    void stopClaiming() { m_claiming = false; }

    /// Marks the cell as released, so that another process can take it over at once, and stops
    /// takeovers. Waits for a limited time until this process has stopped acting as the owner.
    void release()
    {
        std::unique_lock lock(m_mutex);
        m_releasing = true;
        m_work.notify_all();
        m_changed.wait_for(lock, ownershipCallTimeout * 2, [&] { return m_dispatcher == nullptr; });
    }

    void setCatalog(std::shared_ptr<const QueueCatalog> catalog)
    {
        const std::scoped_lock lock(m_mutex);
        m_catalog = std::move(catalog);
        if (m_dispatcher != nullptr)
            m_dispatcher->setCatalog(m_catalog);
        m_work.notify_all();
    }

    void setClosedDataCentres(const std::set<std::string> &dataCentres)
    {
        const std::scoped_lock lock(m_mutex);
        m_closedDataCentres = dataCentres;
        if (m_dispatcher != nullptr)
            m_dispatcher->setClosedDataCentres(m_closedDataCentres);
    }

    /// All evacuations that were stored by `asOf` are in the set given to setClosedDataCentres().
    void setEvacuationsTime(BootTime asOf)
    {
        const std::scoped_lock lock(m_mutex);
        m_evacuationsTime = asOf;
        if (m_dispatcher != nullptr)
            m_dispatcher->setEvacuationsTime(asOf);
    }

    /// Handles an agent's request. Blocks until there are orders for the agent, for at most the
    /// request's waitMs. StaleCommand when this process does not own the cell.
    StatusOr<ExchangeReply> exchange(const ExchangeRequest &request)
    {
        const BootTime arrived = BootClock::now();
        std::unique_lock lock(m_mutex);
        // An owner that could not renew rejects agents, as another process may have taken over.
        if (m_dispatcher == nullptr || request.epoch > m_dispatcher->epoch() || !ownershipValid())
            return notOwner();
        const std::int64_t epoch = m_dispatcher->epoch();
        m_dispatcher->handleRequest(request, arrived, ownershipValid());
        m_workPending = true;
        m_work.notify_all();
        const BootTime until = arrived + Milliseconds(request.waitMs);
        while (m_dispatcher != nullptr && m_dispatcher->epoch() == epoch &&
               !m_dispatcher->hasOrders(request.agent)) {
            const BootTime now = BootClock::now();
            if (now >= until || m_releasing)
                break;
            waiterOf(request.agent).wait_for(lock, until - now);
        }
        if (m_dispatcher == nullptr || m_dispatcher->epoch() != epoch)
            return notOwner();
        return m_dispatcher->reply(request.agent, arrived, ownershipValid());
    }

    bool owns() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_dispatcher != nullptr;
    }

private:
    Status notOwner() const
    {
        return makeError(ErrorKind::StaleCommand, "this process does not own cell " + m_cell);
    }

    /// Requires m_mutex.
    std::condition_variable &waiterOf(const std::string &agent)
    {
        auto &waiter = m_waiters[agent];
        if (waiter == nullptr)
            waiter = std::make_unique<std::condition_variable>();
        return *waiter;
    }

    /// Requires m_mutex. Wakes the blocked calls of agents that have orders, or all of them.
    void wakeAgents(bool all)
    {
        for (const auto &[agent, waiter] : m_waiters) {
            if (all || m_dispatcher->hasOrders(agent))
                waiter->notify_all();
        }
    }

    /// Requires m_mutex. False while releasing, or when another process may have taken over.
    bool ownershipValid() const
    {
        return !m_releasing && BootClock::now() < m_renewedAt + ownerRenewDeadline;
    }

    void run(const std::stop_token &stop)
    {
        OwnershipWatch watch(m_owner);
        while (!stop.stop_requested()) {
            if (!m_releasing && m_claiming && claimable(watch) && claim())
                loadAndServe(stop);
            std::unique_lock lock(m_mutex);
            m_work.wait_for(lock, watchInterval, [&] { return stop.stop_requested(); });
        }
    }

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
            if (!record.ok()) {
                logFailure("cell", "cannot parse the owner row", record.status(),
                           {{"cell", m_cell}});
                return false;
            }
            m_record = *record;
        }
        m_version = row->version;
        return watch.observe(m_record, row->version, sentAt, BootClock::now());
    }

    bool claim()
    {
        const OwnerRecord previous = m_record;
        m_record = {m_owner, m_address, previous.epoch + 1, 0, "", false};
        const BootTime sentAt = BootClock::now();
        if (!commitFenced({}, sentAt + ownershipCallTimeout * 2))
            return false;
        logEvent(LogLevel::Info, "cell", "cell taken over",
                 {{"cell", m_cell},
                  {"epoch", std::to_string(m_record.epoch)},
                  {"formerOwner", previous.owner},
                  {"released", previous.released ? "yes" : "no"}});
        m_metrics.increment("lavender_cell_takeovers");
        return true;
    }

    /// Reads the cell's rows and acts as its owner until another process takes it over or it is
    /// released.
    void loadAndServe(const std::stop_token &stop)
    {
        const BootTime readAt = BootClock::now();
        const BootTime deadline = readAt + loadTimeout;
        const auto jobs = m_store.read(cells::jobTable, cells::inbox(m_cell), deadline);
        const auto progress =
            jobs.ok() ? m_store.read(cells::progressTable, m_cell, deadline) : jobs;
        const auto model = m_store.readOne({cells::modelTable, m_cell, cells::tailsKey}, deadline);
        if (!progress.ok()) {
            logFailure("cell", "cannot read the cell from the store; releasing it",
                       progress.status(), {{"cell", m_cell}});
            m_record.released = true;
            commitFenced({}, BootClock::now() + ownershipCallTimeout);
            return;
        }
        {
            const std::scoped_lock lock(m_mutex);
            m_dispatcher = std::make_unique<CellDispatcher>(m_cell, m_limits, m_record.epoch);
            m_dispatcher->load(jobs->rows, progress->rows, BootClock::now());
            if (model.ok() && model->version != 0)
                m_dispatcher->loadTailModel(model->value);
            m_dispatcher->setCatalog(m_catalog);
            m_dispatcher->setClosedDataCentres(m_closedDataCentres);
            m_dispatcher->setInboxTime(readAt);
            m_dispatcher->setEvacuationsTime(m_evacuationsTime);
        }
        m_inboxRows.clear();
        {
            RowFollower<Store> follower(
                m_store, cells::jobTable, [this] { return reloadJobs(); },
                [this](const Row &row) { receiveJobRow(row); },
                [this](BootTime asOf) { applyJobRows(asOf); }, jobs->version);
            serve(stop);
            // Reset before the follower is destroyed, which may take as long as one of its calls.
            const std::scoped_lock lock(m_mutex);
            m_dispatcher.reset();
            wakeAgents(true);
            m_changed.notify_all();
        }
    }

    StatusOr<std::int64_t> reloadJobs()
    {
        const auto rows =
            m_store.read(cells::jobTable, cells::inbox(m_cell), BootClock::now() + loadTimeout);
        if (!rows.ok())
            return rows.status();
        for (const Row &row : rows->rows)
            receiveJobRow(row);
        return rows->version;
    }

    void receiveJobRow(const Row &row)
    {
        if (row.key.partition == cells::inbox(m_cell))
            m_inboxRows.push_back(row);
    }

    /// Applies the received rows at once, so that nothing is placed between a job and its
    /// cancellation.
    void applyJobRows(BootTime asOf)
    {
        const auto rows = std::exchange(m_inboxRows, {});
        const std::scoped_lock lock(m_mutex);
        if (m_dispatcher == nullptr)
            return;
        for (const Row &row : rows)
            m_dispatcher->applyJobRow(row, BootClock::now());
        m_dispatcher->setInboxTime(asOf);
        if (rows.empty())
            return;
        m_workPending = true;
        m_work.notify_all();
    }

    void serve(const std::stop_token &stop)
    {
        BootTime nextTick = BootClock::now();
        while (true) {
            std::optional<CellCommit> commit;
            {
                std::unique_lock lock(m_mutex);
                const BootTime renewal = m_renewedAt + renewalInterval;
                const BootTime now = BootClock::now();
                const BootTime until = std::min(renewal, nextTick);
                if (!m_workPending && until > now)
                    m_work.wait_for(lock, until - now, [&] {
                        return m_workPending || m_releasing || stop.stop_requested();
                    });
                m_workPending = false;
                if (stop.stop_requested() || m_releasing)
                    break;
                if (BootClock::now() >= nextTick) {
                    m_dispatcher->tick(BootClock::now(), toEpochMs(SystemClock().now()));
                    nextTick = BootClock::now() + tickInterval;
                }
                const BootTime placedAt = BootClock::now();
                commit =
                    m_dispatcher->prepareCommit(placedAt, m_dispatcher->canStartInTime(placedAt));
                logEvents();
                wakeAgents(false);
                if (!commit && BootClock::now() < renewal)
                    continue;
            }
            if (!commitUntilStored(stop, commit ? *commit : CellCommit{}))
                return;
            if (commit && !commit->inboxRemovals.empty())
                deleteInboxRows(*commit);
        }
        m_record.released = true;
        const bool released = commitFenced({}, BootClock::now() + ownershipCallTimeout);
        logEvent(LogLevel::Info, "cell", "cell released",
                 {{"cell", m_cell}, {"confirmed", released ? "yes" : "no"}});
    }

    /// Repeats the commit until it is stored (true). False when another owner has written the owner
    /// row, or when this process stops or releases the cell first.
    bool commitUntilStored(const std::stop_token &stop, const CellCommit &commit)
    {
        const BootTime started = BootClock::now();
        bool ownershipLost = false;
        bool warned = false;
        while (!commitFenced(commit.writes, BootClock::now() + m_commitTimeout.current(),
                             &ownershipLost)) {
            if (ownershipLost || stop.stop_requested() || m_releasing) {
                logEvent(LogLevel::Warning, "cell",
                         "another owner took over the cell, or this process is stopping",
                         {{"cell", m_cell}, {"epoch", std::to_string(m_record.epoch)}});
                return false;
            }
            if (!warned)
                logEvent(LogLevel::Warning, "cell", "commit not confirmed; retrying",
                         {{"cell", m_cell}, {"sequence", std::to_string(m_record.sequence)}});
            warned = true;
            std::this_thread::sleep_for(cellCommitRetryPause);
        }
        m_metrics.observeSeconds("lavender_commit_seconds",
                                 static_cast<double>((BootClock::now() - started).count()) / 1000);
        const std::scoped_lock lock(m_mutex);
        m_dispatcher->commitApplied(BootClock::now());
        m_workPending = m_workPending || !commit.writes.empty();
        wakeAgents(false);
        return true;
    }

    /// Deletes the inbox rows of expired jobs. Rows that cannot be deleted stay until a later owner
    /// loads the cell, finds these jobs ended and deletes them.
    void deleteInboxRows(const CellCommit &commit)
    {
        const RowTransaction change{{}, commit.inboxRemovals};
        const auto done = m_store.commit(change, BootClock::now() + ownershipCallTimeout);
        if (!done.ok())
            logFailure("cell", "cannot delete the inbox rows of expired jobs", done.status(),
                       {{"cell", m_cell}});
    }

    /// Makes one attempt to commit `writes` on the condition that the owner row is unchanged. When
    /// an attempt without an answer is repeated, its mark shows whether it was stored.
    /// `ownershipLost` is set when another owner has written the row.
    bool commitFenced(const std::vector<RowWrite> &writes, BootTime deadline,
                      bool *ownershipLost = nullptr)
    {
        const RowKey key = cells::ownerRowKey(m_cell);
        OwnerRecord next = m_record;
        ++next.sequence;
        if (m_pendingMark.empty())
            m_pendingMark = makeUniqueId().substr(0, 12);
        next.mark = m_pendingMark;
        RowTransaction change;
        change.conditions.push_back({key, m_version});
        change.writes = writes;
        change.writes.push_back({key, Json(next).dump(), false});
        const BootTime sentAt = BootClock::now();
        const auto commit = m_store.commit(change, deadline);
        if (!commit.ok()) {
            if (kindOf(commit.status()) == ErrorKind::OutcomeUnknown)
                m_commitTimeout.recordTimeout();
            m_metrics.increment("lavender_commit_failures");
            return false;
        }
        m_commitTimeout.recordLatency(BootClock::now() - sentAt);
        if (!commit->committed && !isOwnWrite(*commit, next)) {
            m_pendingMark.clear();
            if (ownershipLost != nullptr)
                *ownershipLost = true;
            return false;
        }
        if (commit->committed)
            m_version = commit->version;
        m_record = next;
        m_pendingMark.clear();
        const std::scoped_lock lock(m_mutex);
        m_renewedAt = sentAt;
        return true;
    }

    /// True when an earlier attempt of the same write took effect; adopts the version of its row.
    bool isOwnWrite(const RowCommit &commit, const OwnerRecord &next)
    {
        for (const Row &row : commit.current) {
            if (row.key == cells::ownerRowKey(m_cell) && row.value == Json(next).dump()) {
                m_version = row.version;
                return true;
            }
        }
        return false;
    }

    /// Requires m_mutex.
    void logEvents()
    {
        for (const DispatchEvent &event : m_dispatcher->takeEvents())
            logDecision(LogLevel::Info, "dispatch", event.message, event.fields);
    }

    Store &m_store;
    Metrics &m_metrics;
    const std::string m_cell;
    const std::string m_owner;
    const std::string m_address;
    const DispatchLimits m_limits;
    OwnerRecord m_record;       // as last written or read; used by the thread only
    std::int64_t m_version = 0; // of the owner row; used by the thread only
    AdaptiveTimeout m_commitTimeout;
    std::vector<Row> m_inboxRows; // received and not applied; used by the follower's thread only
    std::string m_pendingMark;    // of a write with unknown outcome; used by the thread only

    mutable std::mutex m_mutex;
    std::condition_variable m_work;    // wakes the thread
    std::condition_variable m_changed; // wakes release()
    /// By agent: wakes its blocked call; guarded by m_mutex.
    std::map<std::string, std::unique_ptr<std::condition_variable>> m_waiters;
    std::unique_ptr<CellDispatcher> m_dispatcher;  // null when not the owner; guarded by m_mutex
    std::shared_ptr<const QueueCatalog> m_catalog; // guarded by m_mutex
    std::set<std::string> m_closedDataCentres;     // guarded by m_mutex
    BootTime m_evacuationsTime{};                  // guarded by m_mutex
    BootTime m_renewedAt{};     // when the latest stored renewal was sent; guarded by m_mutex
    bool m_workPending = false; // guarded by m_mutex
    std::atomic<bool> m_claiming{true};
    std::atomic<bool> m_releasing{false};
    std::jthread m_thread; // declared last, so joined first
};

} // namespace lavenderarch
