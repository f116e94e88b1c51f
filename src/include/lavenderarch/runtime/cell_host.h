// Watches the ownership of one cell, takes it over when allowed and runs its CellDispatcher.
#pragma once

#include "lavenderarch/dispatch/queue_catalog.h"
#include "lavenderarch/runtime/cell_load.h"
#include "lavenderarch/runtime/cell_successor.h"
#include "lavenderarch/runtime/held_calls.h"
#include "lavenderarch/runtime/inbox_rows.h"
#include "lavenderarch/runtime/inbox_writer.h"
#include "lavenderarch/runtime/measured_commit.h"
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
/// Longest wait of a release for agents to confirm their starts; polls are nearly always open.
inline constexpr Milliseconds startDeliveryTime{600};
/// Agents heard in this time count as reachable during a release.
inline constexpr Milliseconds deliveryHeardTime{1500};

/// Competes for the cell on a thread of its own until destruction. Does not own the store or the
/// metrics, which must outlive it. Thread-safe: no call to the store is made while a lock is held.
template <RowStore Store>
class CellHost
{
public:
    CellHost(Store &store, Metrics &metrics, std::string cell, std::string owner,
             std::string address, DispatchLimits limits, Milliseconds loadTimeout = cellLoadTimeout,
             std::int64_t milliCores = 1000)
        : m_store(store)
        , m_metrics(metrics)
        , m_cell(std::move(cell))
        , m_owner(std::move(owner))
        , m_limits(limits)
        , m_loadTimeout(loadTimeout)
        , m_milliCores(milliCores)
        , m_fence(store, metrics, m_cell, m_owner, std::move(address))
        , m_successor(store, m_cell, m_owner)
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

    /// Tells the other processes that the cell will be released; one of them reads it ahead.
    void announceRelease() { m_leaving = true; }

    /// Stops takeovers and placement, waits until the agents have the committed starts, and marks
    /// the cell as released, so that another process can take it over at once. Returns immediately.
    void startRelease(Milliseconds deliveryTime = startDeliveryTime)
    {
        const std::scoped_lock lock(m_mutex);
        m_claiming = false;
        m_releaseBy = std::min(m_releaseBy.load(), BootClock::now() + deliveryTime);
        m_releasing = m_releasing || m_state != State::Serving;
        m_work.notify_all();
    }

    /// The same, and waits until this process has stopped acting as the owner or `deadline` passes.
    void release(BootTime deadline = BootClock::now() + startDeliveryTime + ownershipCallTimeout)
    {
        startRelease();
        std::unique_lock lock(m_mutex);
        while (m_state != State::Idle && BootClock::now() < deadline)
            m_changed.wait_for(lock, deadline - BootClock::now());
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

    /// Handles an agent's request. Calls `answer` once, here or on another thread: when there are
    /// orders for the agent, after the request's waitMs at the latest. StaleCommand when this
    /// process does not own the cell. While the cell is loaded the reply only grants a lease, so
    /// that what runs continues; the agent repeats the content of the request in its next one.
    void exchange(const ExchangeRequest &request, HeldCall::Answer answer)
    {
        const BootTime arrived = BootClock::now();
        m_calls.submit({request, arrived, arrived + Milliseconds(request.boundedWaitMs()), false, 0,
                        HeldCall::Stage::Arrived, std::move(answer)});
    }

    /// The same; blocks until the answer.
    StatusOr<ExchangeReply> exchange(const ExchangeRequest &request);

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

    /// Requires m_mutex. The answer of `call`, or nothing if it waits.
    std::optional<HeldCall::Result> decide(HeldCall &call);
    /// Requires m_mutex. Handles the message of `call` unless the cell is being loaded.
    std::optional<HeldCall::Result> receive(HeldCall &call);
    /// Requires m_mutex. Installing the dispatcher assumes that the leases granted here are valid.
    ExchangeReply loadingReply(const ExchangeRequest &request) const;

    /// Requires m_mutex.
    void setState(State state)
    {
        m_state = state;
        if (state == State::Idle)
            m_dispatcher.reset();
        m_changed.notify_all();
        m_calls.wakeAll();
    }

    bool releasing() const { return m_releaseBy.load() != BootTime::max(); }

    /// Requires m_mutex. Wakes the held calls of agents that have got orders.
    void wakeAgents()
    {
        for (const std::string &agent : m_dispatcher->takeAgentsToWake())
            m_calls.wake(agent);
    }

    /// Requires m_mutex. False while releasing, or when another process may have taken over.
    bool ownershipValid() const
    {
        return !m_releasing && BootClock::now() < m_fence.renewedAt() + ownerRenewDeadline;
    }

    void run(const std::stop_token &stop)
    {
        OwnershipWatch watch(m_owner, m_milliCores);
        while (!stop.stop_requested()) {
            if (m_awaitingSuccessor)
                findSuccessor();
            else if (m_claiming && m_fence.claimable(watch) && BootClock::now() >= m_claimAfter &&
                     m_fence.claim(watch))
                loadAndServe(stop);
            else if (m_claiming)
                m_successor.prepare(watch, stop);
            else
                m_successor.resign();
            const auto pause = m_awaitingSuccessor ? handoverInterval : m_successor.interval();
            std::unique_lock lock(m_mutex);
            m_work.wait_for(lock, pause, [&] { return stop.stop_requested(); });
        }
    }

    /// Lets the polls of a released cell go once another process owns it.
    void findSuccessor()
    {
        if (!m_fence.succeeded())
            return;
        const std::scoped_lock lock(m_mutex);
        m_awaitingSuccessor = false;
        m_calls.wakeAll();
    }

    /// Loads the cell and acts as its owner until another process takes it over or it is released.
    void loadAndServe(const std::stop_token &stop)
    {
        const auto inboxVersion = loadWhileRenewing(stop);
        if (!inboxVersion)
            return;
        std::stop_source served;
        m_inboxRows.clear();
        m_follower = std::make_unique<RowFollower<Store>>(
            m_store, cells::jobTable,
            [this, reads = served.get_token()] { return reloadJobs(reads); },
            [this](const Row &row) { receiveJobRow(row); },
            [this](BootTime asOf) { handOverJobRows(asOf); }, *inboxVersion);
        m_inboxWriter = std::make_unique<InboxWriter<Store>>(m_store, m_cell);
        serve(stop);
        served.request_stop();
        std::unique_lock lock(m_mutex);
        setState(State::Idle);
        lock.unlock();
        // Their destruction may take as long as one of their calls, in which a released cell is
        // taken over by another process.
        if (!m_releasing) {
            m_follower.reset();
            m_inboxWriter.reset();
        }
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
            auto result = loadCell(m_store, m_metrics, m_cell, m_limits, epoch,
                                   m_successor.takeRows(), deadline, loadStop);
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
            m_inboxRows.add(row);
    }

    /// Applies the received rows unless m_mutex is taken: then serve() does, at the latest with the
    /// next tick.
    void handOverJobRows(BootTime asOf)
    {
        m_inboxRows.handOver(asOf);
        const std::unique_lock lock(m_mutex, std::try_to_lock);
        if (lock.owns_lock())
            applyJobRows();
    }

    /// Requires m_mutex. Applies the rows that were handed over, at once, so that nothing is placed
    /// between a job and its cancellation.
    void applyJobRows()
    {
        const auto inbox = m_dispatcher == nullptr ? std::nullopt : m_inboxRows.take();
        if (!inbox)
            return;
        for (const Row &row : inbox->rows)
            m_dispatcher->applyJobRow(row, BootClock::now());
        m_dispatcher->setInboxTime(inbox->asOf);
        if (inbox->rows.empty())
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
                        return m_workPending || m_inboxRows.isPending() || m_releasing ||
                               stop.stop_requested();
                    });
                applyJobRows();
                m_workPending = false;
                m_releasing = m_releasing || readyToRelease();
                m_awaitingSuccessor = m_releasing.load();
                if (stop.stop_requested() || m_releasing)
                    break;
                if (BootClock::now() >= nextTick) {
                    m_dispatcher->tick(BootClock::now(), toEpochMs(SystemClock().now()));
                    m_metrics.setGauge("lavender_cell_thread_cpu_seconds", threadCpuSeconds(),
                                       {{"cell", m_cell}});
                    nextTick = BootClock::now() + tickInterval;
                }
                const BootTime placedAt = BootClock::now();
                // The ends and phases of a cell that is released are left to its next owner.
                if (!releasing() || m_dispatcher->hasStagedStarts())
                    commit = prepareMeasuredCommit(
                        *m_dispatcher, placedAt,
                        !releasing() && m_dispatcher->canStartInTime(placedAt), m_metrics);
                logEvents();
                wakeAgents();
                if (!commit && BootClock::now() < renewal)
                    continue;
            }
            if (m_leaving)
                m_fence.announceRelease();
            if (!commitUntilStored(stop, commit ? *commit : CellCommit{}))
                return;
            if (commit && !commit->inboxWrites.empty())
                m_inboxWriter->add(std::move(commit->inboxWrites));
        }
        m_fence.release();
    }

    /// Requires m_mutex and a dispatcher.
    bool readyToRelease() const
    {
        const BootTime now = BootClock::now();
        return releasing() && (now >= m_releaseBy.load() ||
                               !m_dispatcher->hasUndeliveredStarts(now - deliveryHeardTime));
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
            const bool late = BootClock::now() - ownershipCallTimeout >= m_releaseBy.load();
            if (lost || stop.stop_requested() || m_releasing || late) {
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
        wakeAgents();
        return true;
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
    const std::int64_t m_milliCores;  // of the VM
    OwnerFence<Store> m_fence;        // used by the thread only, except for its renewedAt()
    CellSuccessor<Store> m_successor; // used by the thread only, and by the loader
    BootTime m_claimAfter{};          // used by the thread only
    InboxRows m_inboxRows;            // received from m_follower and not applied

    mutable std::mutex m_mutex;
    std::condition_variable m_work;                // wakes the thread
    std::condition_variable m_changed;             // signals a change of m_state
    State m_state = State::Idle;                   // guarded by m_mutex
    std::int64_t m_epoch = 0;                      // of the newest ownership; guarded by m_mutex
    std::unique_ptr<CellDispatcher> m_dispatcher;  // null unless Serving; guarded by m_mutex
    std::shared_ptr<const QueueCatalog> m_catalog; // guarded by m_mutex
    std::set<std::string> m_closedDataCentres;     // guarded by m_mutex
    BootTime m_evacuationsTime{};                  // guarded by m_mutex
    bool m_workPending = false;                    // guarded by m_mutex
    std::atomic<bool> m_claiming{true};
    std::atomic<bool> m_leaving{false};
    std::atomic<BootTime> m_releaseBy{BootTime::max()}; ///< end of the wait for agents
    std::atomic<bool> m_releasing{false};               ///< grants and orders nothing any more
    std::atomic<bool> m_awaitingSuccessor{false};       ///< released, and not taken over yet
    std::unique_ptr<RowFollower<Store>> m_follower;     // used by the thread only
    std::unique_ptr<InboxWriter<Store>> m_inboxWriter;  // used by the thread only
    HeldCalls m_calls{m_mutex, [this](HeldCall &call) { return decide(call); }};
    std::jthread m_thread; // declared last, so joined first
};

} // namespace lavenderarch

#include "lavenderarch/runtime/cell_host_exchange_impl.h"
