// Watches one cell and owns it when it may: the threads around a CellDispatcher.
#pragma once

#include "lavenderarch/core/clock.h"
#include "lavenderarch/core/random.h"
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/ownership_watch.h"
#include "lavenderarch/dispatch/queue_catalog.h"
#include "lavenderarch/runtime/row_follower.h"
#include "lavenderarch/runtime/try_timeout.h"
#include "lavenderarch/telemetry/metrics.h"

#include <condition_variable>
#include <mutex>

namespace lavenderarch {

/// Time for a read or a write at a change of ownership.
inline constexpr Milliseconds ownershipTry{800};
inline constexpr Milliseconds commitPause{40};
/// Time between two looks at leases, stalled runs and due occurrences.
inline constexpr Milliseconds tickInterval{250};
/// Time for reading a whole cell at a takeover.
inline constexpr Milliseconds loadTime{3000};
/// An owner that has not heard of new rows for so long places nothing: no task may start later
/// than 3 s after its job's cancellation, and a commit and a start take some of that.
inline constexpr Milliseconds inboxFresh{2500};

/// Thread-safe. Lock order: m_mutex is the only lock, and no call of the store is made under it.
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

    /// Keeps the cell if it is owned, but does not take it over any more.
    void stopClaiming() { m_claiming = false; }

    /// Hands the cell over: writes its row as released and takes no cell any more.
    void release()
    {
        std::unique_lock lock(m_mutex);
        m_releasing = true;
        m_work.notify_all();
        m_changed.wait_for(lock, ownershipTry * 2, [&] { return m_dispatcher == nullptr; });
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
        m_closed = dataCentres;
        if (m_dispatcher != nullptr)
            m_dispatcher->setClosedDataCentres(m_closed);
    }

    /// Takes an agent's message and waits for orders as long as it asks. StaleCommand when this
    /// process does not own the cell.
    StatusOr<ExchangeReply> exchange(const ExchangeRequest &request)
    {
        const BootTime arrived = BootClock::now();
        std::unique_lock lock(m_mutex);
        // An owner that cannot renew sends its agents away: another may have taken over.
        if (m_dispatcher == nullptr || request.epoch > m_dispatcher->epoch() || !mayAct())
            return notOwner();
        const std::int64_t epoch = m_dispatcher->epoch();
        m_dispatcher->handleRequest(request, arrived, mayAct());
        m_wake = true;
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
        return m_dispatcher->reply(request.agent, mayAct());
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

    /// Requires m_mutex. Wakes the calls of agents that have orders, or all calls.
    void wakeAgents(bool all)
    {
        for (const auto &[agent, waiter] : m_waiters) {
            if (all || m_dispatcher->hasOrders(agent))
                waiter->notify_all();
        }
    }

    /// Requires m_mutex. False when another process may have taken over.
    bool mayAct() const
    {
        return !m_releasing && BootClock::now() < m_renewedAt + ownerRenewDeadline;
    }

    void run(const std::stop_token &stop)
    {
        OwnershipWatch watch(m_owner);
        while (!stop.stop_requested()) {
            if (!m_releasing && m_claiming && claimable(watch) && claim())
                own(stop);
            std::unique_lock lock(m_mutex);
            m_work.wait_for(lock, watchInterval, [&] { return stop.stop_requested(); });
        }
    }

    bool claimable(OwnershipWatch &watch)
    {
        const BootTime sentAt = BootClock::now();
        const auto row = m_store.readOne(cells::ownerRowKey(m_cell), sentAt + ownershipTry);
        if (!row.ok()) {
            watch.readFailed();
            return false;
        }
        m_record = {};
        if (row->version != 0) {
            const auto record = parseAs<OwnerRecord>(row->value, "owner row");
            if (!record.ok()) {
                logFailure("cell", "owner row is unreadable", record.status(), {{"cell", m_cell}});
                return false;
            }
            m_record = *record;
        }
        m_version = row->version;
        return watch.observe(m_record, row->version, sentAt, BootClock::now());
    }

    bool claim()
    {
        const OwnerRecord former = m_record;
        m_record = {m_owner, m_address, former.epoch + 1, 0, "", false};
        const BootTime sentAt = BootClock::now();
        if (!commitFenced({}, sentAt + ownershipTry * 2))
            return false;
        logEvent(LogLevel::Info, "cell", "cell taken over",
                 {{"cell", m_cell},
                  {"epoch", std::to_string(m_record.epoch)},
                  {"formerOwner", former.owner},
                  {"released", former.released ? "yes" : "no"}});
        m_metrics.increment("lavender_cell_takeovers");
        return true;
    }

    /// Reads the cell and serves it until it is lost or released.
    void own(const std::stop_token &stop)
    {
        const BootTime deadline = BootClock::now() + loadTime;
        const auto jobs = m_store.read(cells::jobTable, cells::inbox(m_cell), deadline);
        const auto progress =
            jobs.ok() ? m_store.read(cells::progressTable, m_cell, deadline) : jobs;
        const auto model = m_store.readOne({cells::modelTable, m_cell, cells::tailsKey}, deadline);
        if (!progress.ok()) {
            logFailure("cell", "cell could not be read; giving it up", progress.status(),
                       {{"cell", m_cell}});
            m_record.released = true;
            commitFenced({}, BootClock::now() + ownershipTry);
            return;
        }
        {
            const std::scoped_lock lock(m_mutex);
            m_dispatcher = std::make_unique<CellDispatcher>(m_cell, m_limits, m_record.epoch);
            m_dispatcher->load(jobs->rows, progress->rows, BootClock::now());
            if (model.ok() && model->version != 0)
                m_dispatcher->loadInterferenceModel(model->value);
            m_dispatcher->setCatalog(m_catalog);
            m_dispatcher->setClosedDataCentres(m_closed);
        }
        const auto version = std::make_shared<std::optional<std::int64_t>>(jobs->version);
        {
            RowFollower<Store> follower(
                m_store, cells::jobTable, [this, version] { return reloadJobs(*version); },
                [this](const Row &row) { applyJobRow(row); });
            serve(stop, follower);
            // Before the follower ends, which may take as long as one of its calls.
            const std::scoped_lock lock(m_mutex);
            m_dispatcher.reset();
            wakeAgents(true);
            m_changed.notify_all();
        }
    }

    StatusOr<std::int64_t> reloadJobs(std::optional<std::int64_t> &first)
    {
        if (first) {
            const std::int64_t version = *first;
            first.reset();
            return version;
        }
        const auto rows =
            m_store.read(cells::jobTable, cells::inbox(m_cell), BootClock::now() + loadTime);
        if (!rows.ok())
            return rows.status();
        for (const Row &row : rows->rows)
            applyJobRow(row);
        return rows->version;
    }

    void applyJobRow(const Row &row)
    {
        if (row.key.partition != cells::inbox(m_cell))
            return;
        const std::scoped_lock lock(m_mutex);
        if (m_dispatcher == nullptr)
            return;
        m_dispatcher->applyJobRow(row, BootClock::now());
        m_wake = true;
        m_work.notify_all();
    }

    void serve(const std::stop_token &stop, const RowFollower<Store> &inbox)
    {
        BootTime nextTick = BootClock::now();
        while (true) {
            std::optional<CellCommit> commit;
            {
                std::unique_lock lock(m_mutex);
                const BootTime renewal = m_renewedAt + renewalInterval;
                const BootTime now = BootClock::now();
                const BootTime until = std::min(renewal, nextTick);
                if (!m_wake && until > now)
                    m_work.wait_for(lock, until - now,
                                    [&] { return m_wake || m_releasing || stop.stop_requested(); });
                m_wake = false;
                if (stop.stop_requested() || m_releasing)
                    break;
                if (BootClock::now() >= nextTick) {
                    m_dispatcher->tick(BootClock::now(), toEpochMs(SystemClock().now()));
                    nextTick = BootClock::now() + tickInterval;
                }
                // Without the newest cancellations no task may be started.
                const bool current = BootClock::now() - inbox.lastAnswer() < inboxFresh;
                commit = m_dispatcher->prepareCommit(BootClock::now(), current);
                logEvents();
                wakeAgents(false);
                if (!commit && BootClock::now() < renewal)
                    continue;
            }
            if (!store(stop, commit ? *commit : CellCommit{}))
                return;
            if (commit && !commit->inboxRemovals.empty())
                clearInbox(*commit);
        }
        m_record.released = true;
        const bool released = commitFenced({}, BootClock::now() + ownershipTry);
        logEvent(LogLevel::Info, "cell", "cell released",
                 {{"cell", m_cell}, {"confirmed", released ? "yes" : "no"}});
    }

    /// Commits until it is known to be stored (true) or the cell to be lost (false).
    bool store(const std::stop_token &stop, const CellCommit &commit)
    {
        const BootTime started = BootClock::now();
        bool lost = false;
        bool waited = false;
        while (!commitFenced(commit.writes, BootClock::now() + m_tryTimeout.current(), &lost)) {
            if (lost || stop.stop_requested() || m_releasing) {
                logEvent(LogLevel::Warning, "cell", "cell is lost to another owner, or left",
                         {{"cell", m_cell}, {"epoch", std::to_string(m_record.epoch)}});
                return false;
            }
            if (!waited)
                logEvent(LogLevel::Warning, "cell", "commit is not confirmed; trying again",
                         {{"cell", m_cell}, {"sequence", std::to_string(m_record.sequence)}});
            waited = true;
            std::this_thread::sleep_for(commitPause);
        }
        m_metrics.observeSeconds("lavender_commit_seconds",
                                 static_cast<double>((BootClock::now() - started).count()) / 1000);
        const std::scoped_lock lock(m_mutex);
        m_dispatcher->commitApplied(BootClock::now());
        m_wake = m_wake || !commit.writes.empty();
        wakeAgents(false);
        return true;
    }

    /// Deletes what entries wrote of jobs that are forgotten. What fails stays, and is deleted by a
    /// later owner, which finds these jobs ended.
    void clearInbox(const CellCommit &commit)
    {
        const RowTransaction change{{}, commit.inboxRemovals};
        const auto done = m_store.commit(change, BootClock::now() + ownershipTry);
        if (!done.ok())
            logFailure("cell", "rows of forgotten jobs stay", done.status(), {{"cell", m_cell}});
    }

    /// One try to write `writes` together with the owner row. A try that got no answer is
    /// recognised by its mark when it is repeated. `lost` is set when another owner has written.
    bool commitFenced(const std::vector<RowWrite> &writes, BootTime deadline, bool *lost = nullptr)
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
                m_tryTimeout.missed();
            m_metrics.increment("lavender_commit_failures");
            return false;
        }
        m_tryTimeout.answered(BootClock::now() - sentAt);
        if (!commit->committed && !isOurs(*commit, next)) {
            m_pendingMark.clear();
            if (lost != nullptr)
                *lost = true;
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

    /// True when a former try of this very write took effect; takes its version over.
    bool isOurs(const RowCommit &commit, const OwnerRecord &next)
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
    OwnerRecord m_record;       // as last written or read; only on the thread
    std::int64_t m_version = 0; // of the owner row; only on the thread
    TryTimeout m_tryTimeout;
    std::string m_pendingMark; // of a write whose outcome is not known; only on the thread

    mutable std::mutex m_mutex;
    std::condition_variable m_work;    // wakes the thread
    std::condition_variable m_changed; // wakes release()
    /// Wakes an agent's call that waits for orders; guarded by m_mutex.
    std::map<std::string, std::unique_ptr<std::condition_variable>> m_waiters;
    std::unique_ptr<CellDispatcher> m_dispatcher;  // guarded by m_mutex; null: not the owner
    std::shared_ptr<const QueueCatalog> m_catalog; // guarded by m_mutex
    std::set<std::string> m_closed;                // guarded by m_mutex
    BootTime m_renewedAt{}; // when the newest stored renewal was sent; guarded by m_mutex
    bool m_wake = false;    // guarded by m_mutex
    std::atomic<bool> m_claiming{true};
    std::atomic<bool> m_releasing{false};
    std::jthread m_thread; // last: stops first
};

} // namespace lavenderarch
