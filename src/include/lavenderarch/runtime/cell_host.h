// Watches the ownership of one cell, takes it over when allowed and runs its CellDispatcher.
#pragma once

#include "lavenderarch/dispatch/queue_catalog.h"
#include "lavenderarch/runtime/cell_load.h"
#include "lavenderarch/runtime/owner_fence.h"
#include "lavenderarch/runtime/row_follower.h"
#include "lavenderarch/telemetry/cpu_time.h"
#include "lavenderarch/telemetry/metrics.h"

#include <condition_variable>
#include <mutex>

namespace lavenderarch {

/// Delay between two attempts of a commit.
inline constexpr Milliseconds cellCommitRetryPause{40};
/// Time between two checks of leases, stalled runs and due occurrences.
inline constexpr Milliseconds tickInterval{250};
/// Time for which a process does not claim a cell that it could not load.
inline constexpr Milliseconds claimPause{5000};

/// Competes for the cell on a thread of its own until destruction. Does not own the store or the
/// metrics, which must outlive it. Thread-safe: m_mutex is the only lock, and no call to the store
/// is made while it is held.
template <RowStore Store>
class CellHost
{
public:
    CellHost(Store &store, Metrics &metrics, std::string cell, std::string owner,
             std::string address, DispatchLimits limits, Milliseconds loadTimeout = cellLoadTimeout)
        : m_store(store)
        , m_metrics(metrics)
        , m_cell(std::move(cell))
        , m_owner(std::move(owner))
        , m_limits(limits)
        , m_loadTimeout(loadTimeout)
        , m_fence(store, metrics, m_cell, m_owner, std::move(address))
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
        m_changed.wait_for(lock, ownershipCallTimeout * 2, [&] { return m_state == State::Idle; });
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
    /// request's waitMs. StaleCommand when this process does not own the cell. While the cell is
    /// loaded the reply only grants a lease, so that what runs continues; the agent repeats the
    /// content of the request in its next one.
    StatusOr<ExchangeReply> exchange(const ExchangeRequest &request)
    {
        const BootTime arrived = BootClock::now();
        const BootTime until = arrived + Milliseconds(request.waitMs);
        std::unique_lock lock(m_mutex);
        const bool waited = m_state == State::Loading;
        // An agent that does not know the epoch yet learns it at once.
        while (m_state == State::Loading && request.epoch == m_epoch && !m_releasing &&
               BootClock::now() < until)
            m_changed.wait_for(lock, until - BootClock::now());
        // An owner that could not renew rejects agents, as another process may have taken over.
        if (m_state == State::Idle || request.epoch > m_epoch || !ownershipValid())
            return notOwner();
        if (m_state == State::Loading)
            return loadingReply(request);
        const std::int64_t epoch = m_epoch;
        m_dispatcher->handleRequest(request, BootClock::now(), ownershipValid());
        if (m_dispatcher->hasWork()) {
            m_workPending = true;
            m_work.notify_all();
        }
        while (m_dispatcher != nullptr && m_epoch == epoch && !waited &&
               !m_dispatcher->hasOrders(request.agent)) {
            const BootTime now = BootClock::now();
            if (now >= until || m_releasing)
                break;
            waiterOf(request.agent).wait_for(lock, until - now);
        }
        if (m_dispatcher == nullptr || m_epoch != epoch)
            return notOwner();
        return m_dispatcher->reply(request.agent, arrived, ownershipValid());
    }

    bool owns() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_dispatcher != nullptr;
    }

private:
    enum class State {
        Idle,    ///< not the owner
        Loading, ///< the owner, but the dispatcher is not rebuilt yet
        Serving  ///< the owner, with a dispatcher
    };

    /// Requires m_mutex. Installing the dispatcher assumes that the leases granted here are valid.
    ExchangeReply loadingReply(const ExchangeRequest &request) const
    {
        ExchangeReply reply;
        reply.epoch = m_epoch;
        reply.incarnation = request.facts.incarnation;
        reply.grantMs = request.reachable ? m_limits.leaseMs : 0;
        return reply;
    }

    /// Requires m_mutex.
    void setState(State state)
    {
        m_state = state;
        if (state == State::Idle)
            m_dispatcher.reset();
        m_changed.notify_all();
        wakeAgents(true);
    }

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
        return !m_releasing && BootClock::now() < m_fence.renewedAt() + ownerRenewDeadline;
    }

    void run(const std::stop_token &stop)
    {
        OwnershipWatch watch(m_owner);
        while (!stop.stop_requested()) {
            if (!m_releasing && m_claiming && m_fence.claimable(watch) &&
                BootClock::now() >= m_claimAfter && m_fence.claim(watch))
                loadAndServe(stop);
            std::unique_lock lock(m_mutex);
            m_work.wait_for(lock, watchInterval, [&] { return stop.stop_requested(); });
        }
    }

    /// Loads the cell and acts as its owner until another process takes it over or it is released.
    void loadAndServe(const std::stop_token &stop)
    {
        const auto inboxVersion = loadWhileRenewing(stop);
        if (!inboxVersion)
            return;
        std::stop_source served;
        m_inboxRows.clear();
        RowFollower<Store> follower(
            m_store, cells::jobTable,
            [this, reads = served.get_token()] { return reloadJobs(reads); },
            [this](const Row &row) { receiveJobRow(row); },
            [this](BootTime asOf) { applyJobRows(asOf); }, *inboxVersion);
        serve(stop);
        served.request_stop();
        // Before the follower is destroyed, which may take as long as one of its calls.
        const std::scoped_lock lock(m_mutex);
        setState(State::Idle);
    }

    /// Loads the cell on a thread of its own while this one renews the ownership, as a load may
    /// take longer than ownerTakeoverTimeout. Installs the dispatcher and returns the version of
    /// the inbox; nothing when the cell is lost or was released.
    std::optional<std::int64_t> loadWhileRenewing(const std::stop_token &stop)
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_epoch = m_fence.epoch();
            setState(State::Loading);
        }
        std::optional<StatusOr<CellLoad>> load; // guarded by m_mutex
        const BootTime deadline = BootClock::now() + m_loadTimeout;
        const std::jthread loader([&, epoch = m_epoch](const std::stop_token &loadStop) {
            auto result = loadCell(m_store, m_metrics, m_cell, m_limits, epoch, deadline, loadStop);
            const std::scoped_lock lock(m_mutex);
            load.emplace(std::move(result));
            m_work.notify_all();
        });
        while (true) {
            std::unique_lock lock(m_mutex);
            const BootTime renewal = m_fence.renewedAt() + renewalInterval;
            const BootTime now = BootClock::now();
            if (renewal > now)
                m_work.wait_for(lock, renewal - now, [&] {
                    return load.has_value() || m_releasing || stop.stop_requested();
                });
            const bool leaving = m_releasing || stop.stop_requested();
            if (!leaving && load.has_value() && load->ok())
                return install(**load);
            if (!leaving && !load.has_value()) {
                lock.unlock();
                if (BootClock::now() < renewal || commitUntilStored(stop, {}))
                    continue;
                lock.lock();
                setState(State::Idle);
                return std::nullopt;
            }
            if (!leaving) {
                logFailure("cell", "cannot load the cell; releasing it", load->status(),
                           {{"cell", m_cell}, {"epoch", std::to_string(m_epoch)}});
                m_claimAfter = BootClock::now() + claimPause;
            }
            lock.unlock();
            m_fence.release();
            lock.lock();
            setState(State::Idle);
            return std::nullopt;
        } // the loader is joined after the lock is released
    }

    /// Requires m_mutex.
    std::int64_t install(CellLoad &load)
    {
        m_dispatcher = std::move(load.dispatcher);
        m_dispatcher->assumeLeases(BootClock::now());
        m_dispatcher->setCatalog(m_catalog);
        m_dispatcher->setClosedDataCentres(m_closedDataCentres);
        m_dispatcher->setInboxTime(load.inboxTime);
        m_dispatcher->setEvacuationsTime(m_evacuationsTime);
        setState(State::Serving);
        return load.inboxVersion;
    }

    StatusOr<ReloadedTable> reloadJobs(const std::stop_token &stop)
    {
        const auto rows = readPartition(m_store, cells::jobTable, cells::inbox(m_cell),
                                        BootClock::now() + m_loadTimeout, stop);
        if (!rows.ok())
            return rows.status();
        for (const Row &row : rows->rows)
            receiveJobRow(row);
        return ReloadedTable{rows->version, rows->rows.size()};
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
                const BootTime renewal = m_fence.renewedAt() + renewalInterval;
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
                    m_metrics.setGauge("lavender_cell_thread_cpu_seconds", threadCpuSeconds(),
                                       {{"cell", m_cell}});
                    nextTick = BootClock::now() + tickInterval;
                }
                const BootTime placedAt = BootClock::now();
                commit = prepareCommit(placedAt, m_dispatcher->canStartInTime(placedAt));
                logEvents();
                wakeAgents(false);
                if (!commit && BootClock::now() < renewal)
                    continue;
            }
            if (!commitUntilStored(stop, commit ? *commit : CellCommit{}))
                return;
            if (commit && !commit->inboxWrites.empty())
                writeInbox(*commit);
        }
        m_fence.release();
    }

    /// Requires m_mutex. Records how long the dispatcher takes and what its placement does.
    std::optional<CellCommit> prepareCommit(BootTime now, bool mayPlace)
    {
        const PlacementCounts before = m_dispatcher->placementCounts();
        const auto started = std::chrono::steady_clock::now();
        auto commit = m_dispatcher->prepareCommit(now, mayPlace);
        const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - started;
        const PlacementCounts &after = m_dispatcher->placementCounts();
        m_metrics.observeSeconds("lavender_prepare_commit_seconds", seconds.count());
        if (after == before)
            return commit;
        const auto count = [this](const char *name, std::int64_t amount) {
            m_metrics.increment(name, {}, static_cast<double>(amount));
        };
        count("lavender_placement_passes", after.passes - before.passes);
        count("lavender_placement_jobs", after.jobs - before.jobs);
        count("lavender_placement_searches", after.searches - before.searches);
        count("lavender_placement_minions", after.minions - before.minions);
        count("lavender_placement_placed", after.placed - before.placed);
        return commit;
    }

    /// Repeats the commit until it is stored (true). False when another owner has written the owner
    /// row, or when this process stops or releases the cell first.
    bool commitUntilStored(const std::stop_token &stop, const CellCommit &commit)
    {
        const BootTime started = BootClock::now();
        bool warned = false;
        while (true) {
            const auto outcome = m_fence.commit(commit.writes);
            if (outcome == OwnerFence<Store>::Outcome::Stored)
                break;
            const bool lost = outcome == OwnerFence<Store>::Outcome::Lost;
            if (lost || stop.stop_requested() || m_releasing) {
                logEvent(LogLevel::Warning, "cell",
                         "another owner took over the cell, or this process is stopping",
                         {{"cell", m_cell},
                          {"epoch", std::to_string(m_fence.epoch())},
                          {"lost", lost ? "yes" : "no"}});
                return false;
            }
            if (!warned)
                logEvent(LogLevel::Warning, "cell", "commit not confirmed; retrying",
                         {{"cell", m_cell}, {"sequence", std::to_string(m_fence.sequence())}});
            warned = true;
            std::this_thread::sleep_for(cellCommitRetryPause);
        }
        m_metrics.observeSeconds("lavender_commit_seconds",
                                 static_cast<double>((BootClock::now() - started).count()) / 1000);
        const std::scoped_lock lock(m_mutex);
        if (m_dispatcher == nullptr)
            return true;
        m_dispatcher->commitApplied(BootClock::now());
        m_workPending = m_workPending || !commit.writes.empty();
        wakeAgents(false);
        return true;
    }

    /// Shrinks the inbox rows of settled jobs and deletes those of expired ones. Rows for which
    /// this fails stay until a later owner loads the cell and finds these jobs settled.
    void writeInbox(const CellCommit &commit)
    {
        const RowTransaction change{{}, commit.inboxWrites};
        const auto done = m_store.commit(change, BootClock::now() + ownershipCallTimeout);
        if (!done.ok())
            logFailure("cell", "cannot write the inbox rows of ended jobs", done.status(),
                       {{"cell", m_cell}});
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
    const DispatchLimits m_limits;
    const Milliseconds m_loadTimeout;
    OwnerFence<Store> m_fence;    // used by the thread only, except for its renewedAt()
    BootTime m_claimAfter{};      // used by the thread only
    std::vector<Row> m_inboxRows; // received and not applied; used by the follower's thread only

    mutable std::mutex m_mutex;
    std::condition_variable m_work;    // wakes the thread
    std::condition_variable m_changed; // signals a change of m_state
    /// By agent: wakes its blocked call; guarded by m_mutex.
    std::map<std::string, std::unique_ptr<std::condition_variable>> m_waiters;
    State m_state = State::Idle;                   // guarded by m_mutex
    std::int64_t m_epoch = 0;                      // of the newest ownership; guarded by m_mutex
    std::unique_ptr<CellDispatcher> m_dispatcher;  // null unless Serving; guarded by m_mutex
    std::shared_ptr<const QueueCatalog> m_catalog; // guarded by m_mutex
    std::set<std::string> m_closedDataCentres;     // guarded by m_mutex
    BootTime m_evacuationsTime{};                  // guarded by m_mutex
    bool m_workPending = false;                    // guarded by m_mutex
    std::atomic<bool> m_claiming{true};
    std::atomic<bool> m_releasing{false};
    std::jthread m_thread; // declared last, so joined first
};

} // namespace lavenderarch
