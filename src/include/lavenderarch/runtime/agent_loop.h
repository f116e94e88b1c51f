// The threads of an agent: messages to the owner, the lease, and the orders to the minion.
#pragma once

#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/owner_record.h"
#include "lavenderarch/dispatch/pace_controller.h"
#include "lavenderarch/dispatch/run_ledger.h"
#include "lavenderarch/runtime/exchange_channel.h"
#include "lavenderarch/runtime/minion_control.h"
#include "lavenderarch/storage/row_store.h"
#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/metrics.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace lavenderarch {

/// Longest time that the owner holds an answer: a lease is renewed at least this often.
inline constexpr std::int64_t pollWaitMs = 900;
/// Extra time for the answer.
inline constexpr Milliseconds pollSlack{900};
inline constexpr Milliseconds reportTime{900};
/// Pause after a failed message, before the owner is looked up again.
inline constexpr Milliseconds lookupPause{200};
inline constexpr Milliseconds lookupTime{700};
/// Time that the minion holds a renewal when nothing ends. Load figures cover half a second.
inline constexpr std::int64_t renewWaitMs = 400;
inline constexpr Milliseconds renewSlack{800};
inline constexpr Milliseconds renewRetryPause{120};
/// Longest wait for the owner's confirmation of ends before the minion is asked again.
inline constexpr Milliseconds confirmationWait{150};
/// Time between two decisions on paces: a load swings within seconds, its figure covers half a one.
inline constexpr Milliseconds paceInterval{250};
/// One try of an order to the minion, which answers on the same VM.
inline constexpr Milliseconds orderTry{400};
inline constexpr Milliseconds orderRetryPause{60};
/// A start that has no clear answer for so long is stopped instead.
inline constexpr Milliseconds startPatience{3000};
/// Orders sent to the minion at the same time.
inline constexpr int orderThreads = 4;

/// Thread-safe. Lock order: m_mutex is the only lock; no call is made under it.
template <RowStore Store, MinionControl Minion>
class AgentLoop
{
public:
    AgentLoop(Store &store, Minion &minion, ExchangeChannel &channel, Metrics &metrics,
              std::string cell, std::string agent, std::string session)
        : m_store(store)
        , m_minion(minion)
        , m_channel(channel)
        , m_metrics(metrics)
        , m_cell(std::move(cell))
        , m_ledger(std::move(agent), std::move(session))
    {
        m_threads.emplace_back([this](const std::stop_token &stop) { poll(stop); });
        m_threads.emplace_back([this](const std::stop_token &stop) { report(stop); });
        m_threads.emplace_back([this](const std::stop_token &stop) { renew(stop); });
        for (int index = 0; index < orderThreads; ++index)
            m_threads.emplace_back([this](const std::stop_token &stop) { carryOut(stop); });
    }
    ~AgentLoop()
    {
        for (auto &thread : m_threads)
            thread.request_stop();
        m_news.notify_all();
        m_work.notify_all();
        m_confirmed.notify_all();
    }
    AgentLoop(const AgentLoop &) = delete;
    AgentLoop &operator=(const AgentLoop &) = delete;

    /// A minion's check-in. False for one of an older life or sequence.
    bool checkIn(const MinionFacts &facts, std::int64_t sequence)
    {
        const std::scoped_lock lock(m_mutex);
        const MinionFacts former = m_ledger.facts();
        const bool taken = m_ledger.updateFacts(facts, sequence);
        if (taken && (former.life != facts.life || former.draining != facts.draining))
            logEvent(LogLevel::Info, "agent", "minion registered",
                     {{"minion", facts.life.id},
                      {"bornMs", std::to_string(facts.life.bornMs)},
                      {"draining", facts.draining ? "yes" : "no"},
                      {"sequence", std::to_string(sequence)}});
        m_news.notify_one();
        return taken;
    }

    void minionLeft(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        logEvent(LogLevel::Info, "agent", "minion left", {{"minion", id}});
        m_ledger.minionLeft(id);
        m_news.notify_one();
    }

private:
    using Lease = RunLedger::Lease;

    void poll(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            if (!exchange(pollWaitMs, pollSlack))
                findOwner();
            else if (!registered())
                std::this_thread::sleep_for(lookupPause);
        }
    }

    void report(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            {
                std::unique_lock lock(m_mutex);
                m_news.wait(
                    lock, [&] { return stop.stop_requested() || m_ledger.hasUnreportedChanges(); });
                if (stop.stop_requested())
                    return;
            }
            // The poll carries the news as well, so that a failed report is not repeated.
            exchange(0, reportTime);
        }
    }

    bool exchange(std::int64_t waitMs, Milliseconds slack)
    {
        ExchangeRequest request;
        std::optional<Address> owner;
        BootTime sentAt{};
        {
            const std::scoped_lock lock(m_mutex);
            owner = m_owner;
            request = m_ledger.snapshot(waitMs);
            sentAt = BootClock::now();
        }
        if (!owner)
            return false;
        const auto reply =
            m_channel.send(*owner, m_cell, request, sentAt + Milliseconds(waitMs) + slack);
        const std::scoped_lock lock(m_mutex);
        if (reply.ok() != m_connected && (reply.ok() || waitMs > 0)) {
            m_connected = reply.ok();
            if (m_connected)
                logEvent(LogLevel::Info, "agent", "owner found",
                         {{"owner", owner->text()}, {"epoch", std::to_string(reply->epoch)}});
            else
                logFailure("agent", "owner lost", reply.status(), {{"owner", owner->text()}});
        }
        if (!reply.ok() || reply->epoch < m_ledger.epoch())
            return false;
        for (RunOrder &order : m_ledger.applyReply(*reply, sentAt, BootClock::now()))
            m_orders.push_back(std::move(order));
        m_work.notify_all();
        m_confirmed.notify_all();
        return true;
    }

    bool registered()
    {
        const std::scoped_lock lock(m_mutex);
        return m_ledger.registered();
    }

    void findOwner()
    {
        const auto row = m_store.readOne(cells::ownerRowKey(m_cell), BootClock::now() + lookupTime);
        if (row.ok() && row->version != 0) {
            const auto record = parseAs<OwnerRecord>(row->value, "owner row");
            const auto address =
                record.ok() ? Address::parse(record->address) : StatusOr<Address>(record.status());
            if (address.ok() && !record->released) {
                const std::scoped_lock lock(m_mutex);
                const bool changed = m_owner != *address;
                m_owner = *address;
                if (changed)
                    return;
            }
        }
        std::this_thread::sleep_for(lookupPause);
    }

    void renew(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            ControlContext context;
            std::optional<Lease> lease;
            std::int64_t endsSeen = 0;
            std::int64_t endsToForget = 0;
            bool registered = false;
            const BootTime sentAt = BootClock::now();
            {
                const std::scoped_lock lock(m_mutex);
                registered = m_ledger.registered();
                context = {m_ledger.facts().life, m_ledger.epoch()};
                lease = m_ledger.lease(sentAt);
                endsSeen = m_ledger.endsSeen();
                endsToForget = m_ledger.endsToForget();
                if (lease)
                    m_ledger.renewalSent(*lease);
            }
            if (!registered) {
                std::this_thread::sleep_for(renewRetryPause);
                continue;
            }
            const auto listing = m_minion.renew(context, lease, endsToForget, renewWaitMs,
                                                sentAt + Milliseconds(renewWaitMs) + renewSlack);
            takeListing(context, listing, sentAt);
            if (!listing.ok())
                std::this_thread::sleep_for(renewRetryPause);
            else if (!listing->ends.empty())
                awaitConfirmation(stop, endsSeen);
        }
    }

    /// The minion answers at once while it lists ends that are not confirmed: the next renewal
    /// waits until the owner has stored some of them.
    void awaitConfirmation(const std::stop_token &stop, std::int64_t endsSeen)
    {
        std::unique_lock lock(m_mutex);
        m_confirmed.wait_for(lock, confirmationWait, [&] {
            return stop.stop_requested() || m_ledger.endsSeen() != endsSeen;
        });
    }

    void takeListing(const ControlContext &context, const StatusOr<MinionListing> &listing,
                     BootTime sentAt)
    {
        std::vector<PaceChange> paces;
        {
            const std::scoped_lock lock(m_mutex);
            if (m_ledger.facts().life != context.life)
                return;
            const bool reachable = m_ledger.reachable();
            if (listing.ok()) {
                m_ledger.applyListing(*listing, context.epoch, sentAt, BootClock::now());
                if (BootClock::now() >= m_nextPace) {
                    paces = decidePaces(m_ledger, BootClock::now());
                    m_nextPace = BootClock::now() + paceInterval;
                }
            } else {
                m_ledger.renewalFailed(BootClock::now());
            }
            if (reachable != m_ledger.reachable()) {
                if (listing.ok())
                    logEvent(LogLevel::Info, "agent", "minion answers",
                             {{"minion", context.life.id}});
                else
                    logFailure("agent", "minion does not answer", listing.status(),
                               {{"minion", context.life.id}});
            }
            if (m_ledger.hasUnreportedChanges())
                m_news.notify_one();
        }
        for (const PaceChange &change : paces)
            setPace(context, change);
    }

    void setPace(const ControlContext &context, const PaceChange &change)
    {
        const MinionAnswer answer =
            m_minion.pace(context, change.run, change.percent, BootClock::now() + orderTry);
        if (answer.answer != OrderAnswer::Accepted)
            return;
        const std::scoped_lock lock(m_mutex);
        m_ledger.setPace(change.run, change.percent);
        logEvent(LogLevel::Info, "agent", "pace of a filling task changed",
                 {{"task", change.run.task},
                  {"percent", std::to_string(change.percent)},
                  {"serving", change.serving},
                  {"headroom", std::to_string(change.headroom)}});
    }

    void carryOut(const std::stop_token &stop)
    {
        while (true) {
            RunOrder order;
            {
                std::unique_lock lock(m_mutex);
                m_work.wait(lock, [&] { return stop.stop_requested() || !m_orders.empty(); });
                if (stop.stop_requested())
                    return;
                order = std::move(m_orders.front());
                m_orders.pop_front();
            }
            if (order.kind == OrderKind::Start)
                start(stop, order);
            else
                stopRun(stop, order.run);
        }
    }

    /// Sends the start until the minion answers, the run is no longer wanted or patience ends.
    void start(const std::stop_token &stop, const RunOrder &order)
    {
        const BootTime began = BootClock::now();
        bool unclear = false;
        while (!stop.stop_requested()) {
            ControlContext context;
            std::optional<Lease> lease;
            {
                const std::scoped_lock lock(m_mutex);
                if (!m_ledger.shouldRun(order.run))
                    return;
                context = {m_ledger.facts().life, m_ledger.epoch()};
                if (!m_ledger.facts().draining)
                    lease = m_ledger.lease(BootClock::now());
                if (lease)
                    m_ledger.renewalSent(*lease);
            }
            const bool late = BootClock::now() >= began + startPatience;
            MinionAnswer answer;
            if (lease && !late) {
                answer = m_minion.start(context, order, *lease, BootClock::now() + orderTry);
                logStart(order.run, answer, began);
            } else {
                answer = {OrderAnswer::Refused, late ? "no answer in time" : "no lease", 0};
            }
            if (answer.answer == OrderAnswer::Accepted || answer.answer == OrderAnswer::Ended) {
                takeStarted(context, order);
                return;
            }
            if (answer.answer != OrderAnswer::Unknown) {
                refuse(stop, order.run, answer.reason, unclear);
                return;
            }
            unclear = true;
            std::this_thread::sleep_for(orderRetryPause);
        }
    }

    /// A filling task starts at full pace: what it may do beside serving tasks is set at once.
    void takeStarted(const ControlContext &context, const RunOrder &order)
    {
        std::vector<PaceChange> paces;
        {
            const std::scoped_lock lock(m_mutex);
            m_ledger.startConfirmed(order.run, BootClock::now());
            if (order.fills)
                paces = decidePaces(m_ledger, BootClock::now());
        }
        for (const PaceChange &change : paces) {
            if (change.run == order.run)
                setPace(context, change);
        }
    }

    /// The run does not start. When a try got no answer it may start later: a stop forbids that.
    void refuse(const std::stop_token &stop, const RunKey &run, const std::string &reason,
                bool unclear)
    {
        if (unclear) {
            stopRun(stop, run);
            return;
        }
        const std::scoped_lock lock(m_mutex);
        m_ledger.startRefused(run, reason);
        m_news.notify_one();
    }

    void stopRun(const std::stop_token &stop, const RunKey &run)
    {
        while (!stop.stop_requested()) {
            ControlContext context;
            {
                const std::scoped_lock lock(m_mutex);
                if (m_ledger.runs().count(run) == 0)
                    return;
                context = {m_ledger.facts().life, m_ledger.epoch()};
            }
            const MinionAnswer answer = m_minion.stop(context, run, BootClock::now() + orderTry);
            logEvent(LogLevel::Info, "agent", "stop sent to the minion",
                     {{"task", run.task},
                      {"run", std::to_string(run.number)},
                      {"answer", std::string(answerName(answer.answer))},
                      {"reason", answer.reason}});
            if (answer.answer == OrderAnswer::Accepted || answer.answer == OrderAnswer::Ended) {
                const std::scoped_lock lock(m_mutex);
                m_ledger.stopConfirmed(run, BootClock::now());
                return;
            }
            std::this_thread::sleep_for(orderRetryPause);
        }
    }

    void logStart(const RunKey &run, const MinionAnswer &answer, BootTime began)
    {
        m_metrics.increment("lavender_starts_total",
                            {{"answer", std::string(answerName(answer.answer))}});
        logEvent(LogLevel::Info, "agent", "start sent to the minion",
                 {{"task", run.task},
                  {"run", std::to_string(run.number)},
                  {"answer", std::string(answerName(answer.answer))},
                  {"reason", answer.reason},
                  {"sinceOrderMs", std::to_string((BootClock::now() - began).count())}});
    }

    Store &m_store;
    Minion &m_minion;
    ExchangeChannel &m_channel;
    Metrics &m_metrics;
    const std::string m_cell;
    std::mutex m_mutex;
    std::condition_variable m_news;      // wakes the report
    std::condition_variable m_work;      // wakes the order threads
    std::condition_variable m_confirmed; // wakes the renewal
    RunLedger m_ledger;                  // guarded by m_mutex
    BootTime m_nextPace{};               // only on the renewal's thread
    std::deque<RunOrder> m_orders;       // guarded by m_mutex
    std::optional<Address> m_owner;      // guarded by m_mutex
    bool m_connected = false;            // guarded by m_mutex
    std::vector<std::jthread> m_threads; // last: stop first
};

} // namespace lavenderarch
