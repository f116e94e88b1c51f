// The agent's threads: reports to the cell's owner, lease renewals and orders to the minion.
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

/// Longest time for which the owner holds a poll open. A lease is renewed at least this often.
inline constexpr std::int64_t pollWaitMs = 900;
/// Time beyond pollWaitMs in which the owner's reply must arrive.
inline constexpr Milliseconds pollSlack{900};
/// Timeout of a message that the owner answers at once.
inline constexpr Milliseconds reportTimeout{900};
/// Delay after a failed message before the owner is looked up again.
inline constexpr Milliseconds lookupPause{200};
/// Timeout of one read of the owner row.
inline constexpr Milliseconds lookupTimeout{700};
/// Longest time for which the minion holds a renewal open while no run ends. Its load figures
/// cover half a second.
inline constexpr std::int64_t renewWaitMs = 400;
/// Time beyond renewWaitMs in which the minion's answer must arrive.
inline constexpr Milliseconds renewSlack{800};
inline constexpr Milliseconds renewRetryPause{120};
/// Longest wait for the owner to confirm ended runs before the minion is polled again.
inline constexpr Milliseconds confirmationWait{150};
/// Time between two pace decisions. Load changes within seconds; one figure covers half a second.
inline constexpr Milliseconds paceInterval{250};
/// Timeout of one attempt of an order to the minion, which runs on the same VM.
inline constexpr Milliseconds orderAttemptTimeout{400};
inline constexpr Milliseconds orderRetryPause{60};
/// A run whose start is still unanswered after this time is stopped instead.
inline constexpr Milliseconds startTimeout{3000};
/// Number of orders sent to the minion concurrently.
inline constexpr int orderThreads = 4;

/// Runs the agent's threads from construction to destruction. Does not own the store, the minion,
/// the channel or the metrics, which must outlive it. Thread-safe: m_mutex is the only lock, and no
/// call to the store, the minion or the owner is made while it is held.
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
            m_threads.emplace_back([this](const std::stop_token &stop) { executeOrders(stop); });
    }
    ~AgentLoop()
    {
        for (auto &thread : m_threads)
            thread.request_stop();
        m_reportNeeded.notify_all();
        m_ordersAdded.notify_all();
        m_confirmed.notify_all();
    }
    AgentLoop(const AgentLoop &) = delete;
    AgentLoop &operator=(const AgentLoop &) = delete;

    /// Handles a minion's check-in. False when it is of an older incarnation or sequence.
    bool checkIn(const MinionFacts &facts, std::int64_t sequence)
    {
        const std::scoped_lock lock(m_mutex);
        const MinionFacts previous = m_ledger.facts();
        const bool updated = m_ledger.updateFacts(facts, sequence);
        if (updated &&
            (previous.incarnation != facts.incarnation || previous.draining != facts.draining))
            logEvent(LogLevel::Info, "agent", "minion registered",
                     {{"minion", facts.incarnation.id},
                      {"bornMs", std::to_string(facts.incarnation.bornMs)},
                      {"formerBornMs", std::to_string(previous.incarnation.bornMs)},
                      {"draining", facts.draining ? "yes" : "no"},
                      {"sequence", std::to_string(sequence)}});
        m_reportNeeded.notify_one();
        return updated;
    }

    /// Handles the deregistration of the minion `id`.
    void minionLeft(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        logEvent(LogLevel::Info, "agent", "minion deregistered",
                 {{"minion", id},
                  {"registered", m_ledger.facts().incarnation.id},
                  {"registeredBornMs", std::to_string(m_ledger.facts().incarnation.bornMs)}});
        m_ledger.minionLeft(id);
        m_reportNeeded.notify_one();
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
                m_reportNeeded.wait(
                    lock, [&] { return stop.stop_requested() || m_ledger.hasUnreportedChanges(); });
                if (stop.stop_requested())
                    return;
            }
            // A failed report is not repeated: the next poll carries the same content.
            exchange(0, reportTimeout);
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
            sentAt = BootClock::now();
            request = m_ledger.nextMessage(waitMs, sentAt);
        }
        if (!owner)
            return false;
        const auto reply =
            m_channel.send(*owner, m_cell, request, sentAt + Milliseconds(waitMs) + slack);
        const std::scoped_lock lock(m_mutex);
        if (reply.ok() != m_connected && (reply.ok() || waitMs > 0)) {
            m_connected = reply.ok();
            if (m_connected)
                logEvent(LogLevel::Info, "agent", "connected to the cell's owner",
                         {{"owner", owner->text()}, {"epoch", std::to_string(reply->epoch)}});
            else
                logFailure("agent", "exchange with the cell's owner failed", reply.status(),
                           {{"owner", owner->text()}});
        }
        if (!reply.ok() || reply->epoch < m_ledger.epoch()) {
            m_ledger.exchangeFailed();
            return false;
        }
        m_ledger.recordDelivery(request);
        for (RunOrder &order : m_ledger.applyReply(*reply, sentAt, BootClock::now()))
            m_orders.push_back(std::move(order));
        m_ordersAdded.notify_all();
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
        const auto row =
            m_store.readOne(cells::ownerRowKey(m_cell), BootClock::now() + lookupTimeout);
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
            std::int64_t endsToDiscard = 0;
            std::int64_t waitMs = 0;
            Milliseconds timeout = orderAttemptTimeout;
            bool registered = false;
            const BootTime sentAt = BootClock::now();
            {
                const std::scoped_lock lock(m_mutex);
                registered = m_ledger.registered();
                context = {m_ledger.facts().incarnation, m_ledger.epoch()};
                lease = m_ledger.lease(sentAt);
                endsSeen = m_ledger.endsSeen();
                endsToDiscard = m_ledger.endsToDiscard();
                // Nothing is started and no lease extended before it answers, so it need not wait.
                if (m_ledger.reachable()) {
                    waitMs = renewWaitMs;
                    timeout = Milliseconds(renewWaitMs) + renewSlack;
                }
                if (lease)
                    m_ledger.renewalSent(*lease);
            }
            if (!registered) {
                std::this_thread::sleep_for(renewRetryPause);
                continue;
            }
            const auto listing =
                m_minion.renew(context, lease, endsToDiscard, waitMs, sentAt + timeout);
            const bool applied = handleListing(context, listing, sentAt);
            if (!listing.ok())
                std::this_thread::sleep_for(renewRetryPause);
            else if (applied && !listing->ends.empty())
                awaitConfirmation(stop, endsSeen);
        }
    }

    /// Delays the next renewal until the owner has stored some of the listed ends. The minion
    /// answers renewals at once while it has unconfirmed ends, so the loop would spin otherwise.
    void awaitConfirmation(const std::stop_token &stop, std::int64_t endsSeen)
    {
        std::unique_lock lock(m_mutex);
        m_confirmed.wait_for(lock, confirmationWait, [&] {
            return stop.stop_requested() || m_ledger.endsSeen() != endsSeen;
        });
    }

    /// True if the listing was applied, false if it failed or another incarnation has answered.
    bool handleListing(const ControlContext &context, const StatusOr<MinionListing> &listing,
                       BootTime sentAt)
    {
        std::vector<PaceChange> paces;
        {
            const std::scoped_lock lock(m_mutex);
            if (m_ledger.facts().incarnation != context.incarnation)
                return false;
            const bool reachable = m_ledger.reachable();
            if (listing.ok()) {
                logAnsweringIncarnation(context, *listing);
                m_ledger.applyListing(*listing, context.epoch, sentAt, BootClock::now());
                if (BootClock::now() >= m_nextPace) {
                    paces = decidePaces(m_ledger, BootClock::now());
                    m_nextPace = BootClock::now() + paceInterval;
                }
            } else {
                m_ledger.renewalFailed(BootClock::now());
            }
            if (reachable != m_ledger.reachable()) {
                if (m_ledger.reachable())
                    logEvent(LogLevel::Info, "agent", "minion is reachable",
                             {{"minion", context.incarnation.id},
                              {"bornMs", std::to_string(context.incarnation.bornMs)}});
                else if (!listing.ok())
                    logFailure("agent", "minion is unreachable", listing.status(),
                               {{"minion", context.incarnation.id},
                                {"bornMs", std::to_string(context.incarnation.bornMs)}});
            }
            if (m_ledger.hasUnreportedChanges())
                m_reportNeeded.notify_one();
        }
        for (const PaceChange &change : paces)
            setPace(context, change);
        return listing.ok() && listedBy(context, *listing);
    }

    static bool listedBy(const ControlContext &context, const MinionListing &listing)
    {
        return listing.bornMs == 0 || listing.bornMs == context.incarnation.bornMs;
    }

    /// Requires m_mutex. Logs a listing by another incarnation than the call was meant for, once
    /// for each change of the incarnation that answers.
    void logAnsweringIncarnation(const ControlContext &context, const MinionListing &listing)
    {
        const bool other = !listedBy(context, listing);
        const std::int64_t answering = other ? listing.bornMs : 0;
        if (std::exchange(m_otherBornMs, answering) == answering || !other)
            return;
        logEvent(LogLevel::Warning, "agent", "another incarnation of the minion answered",
                 {{"minion", context.incarnation.id},
                  {"bornMs", std::to_string(context.incarnation.bornMs)},
                  {"answeringBornMs", std::to_string(listing.bornMs)},
                  {"minionClockMs", std::to_string(listing.clockMs)},
                  {"running", std::to_string(listing.active.size())}});
    }

    void setPace(const ControlContext &context, const PaceChange &change)
    {
        const MinionAnswer answer = m_minion.pace(context, change.run, change.percent,
                                                  BootClock::now() + orderAttemptTimeout);
        if (answer.answer != OrderAnswer::Accepted)
            return;
        const std::scoped_lock lock(m_mutex);
        m_ledger.setPace(change.run, change.percent);
        logEvent(LogLevel::Info, "agent", "pace of a best-effort task changed",
                 {{"task", change.run.task},
                  {"percent", std::to_string(change.percent)},
                  {"serving", change.serving},
                  {"headroom", std::to_string(change.headroom)}});
    }

    void executeOrders(const std::stop_token &stop)
    {
        while (true) {
            RunOrder order;
            {
                std::unique_lock lock(m_mutex);
                m_ordersAdded.wait(lock,
                                   [&] { return stop.stop_requested() || !m_orders.empty(); });
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

    /// Sends the start until the minion answers, the run is no longer wanted, or startTimeout or
    /// the start deadline of the order passes.
    void start(const std::stop_token &stop, const RunOrder &order)
    {
        const BootTime began = BootClock::now();
        bool mayHaveStarted = false;
        while (!stop.stop_requested()) {
            ControlContext context;
            std::optional<Lease> lease;
            BootTime startBy{};
            bool reachable = false;
            {
                const std::scoped_lock lock(m_mutex);
                if (!m_ledger.shouldRun(order.run))
                    return;
                startBy = m_ledger.startBy(order.run);
                reachable = m_ledger.reachable();
                context = {m_ledger.facts().incarnation, m_ledger.epoch()};
                if (!m_ledger.facts().draining)
                    lease = m_ledger.lease(BootClock::now());
                if (lease)
                    m_ledger.renewalSent(*lease);
            }
            const BootTime now = BootClock::now();
            const bool late = now >= std::min(began + startTimeout, startBy);
            MinionAnswer answer;
            if (!reachable && !late) {
                // It may have restarted: nothing is started before it has answered a renewal.
            } else if (lease && !late) {
                answer = m_minion.start(context, order, *lease,
                                        std::min(now + orderAttemptTimeout, startBy));
                logStart(context, order.run, *lease, answer, began, startBy);
            } else {
                answer = {OrderAnswer::Refused, late ? "not started in time" : "no lease", 0};
            }
            if (answer.answer == OrderAnswer::Accepted || answer.answer == OrderAnswer::Ended) {
                handleStarted(context, order);
                return;
            }
            if (answer.answer != OrderAnswer::Unknown) {
                abandonStart(stop, order.run, answer.reason, mayHaveStarted);
                return;
            }
            mayHaveStarted = mayHaveStarted || reachable;
            std::this_thread::sleep_for(orderRetryPause);
        }
    }

    /// Sets the pace of a best-effort task right after its start, since it starts at full pace and
    /// may slow the serving tasks on the same minion.
    void handleStarted(const ControlContext &context, const RunOrder &order)
    {
        std::vector<PaceChange> paces;
        {
            const std::scoped_lock lock(m_mutex);
            m_ledger.startConfirmed(order.run, BootClock::now());
            if (order.bestEffort)
                paces = decidePaces(m_ledger, BootClock::now());
        }
        for (const PaceChange &change : paces) {
            if (change.run == order.run)
                setPace(context, change);
        }
    }

    /// Reports that the run does not start. After an attempt without an answer the start may still
    /// take effect later, so a stop is sent instead.
    void abandonStart(const std::stop_token &stop, const RunKey &run, const std::string &reason,
                      bool mayHaveStarted)
    {
        if (mayHaveStarted) {
            stopRun(stop, run);
            return;
        }
        const std::scoped_lock lock(m_mutex);
        m_ledger.startRefused(run, reason);
        m_reportNeeded.notify_one();
    }

    void stopRun(const std::stop_token &stop, const RunKey &run)
    {
        while (!stop.stop_requested()) {
            ControlContext context;
            {
                const std::scoped_lock lock(m_mutex);
                if (m_ledger.runs().count(run) == 0)
                    return;
                context = {m_ledger.facts().incarnation, m_ledger.epoch()};
            }
            const MinionAnswer answer =
                m_minion.stop(context, run, BootClock::now() + orderAttemptTimeout);
            logEvent(LogLevel::Info, "agent", "stop sent to the minion",
                     {{"task", run.task},
                      {"run", std::to_string(run.number)},
                      {"minion", context.incarnation.id},
                      {"bornMs", std::to_string(context.incarnation.bornMs)},
                      {"epoch", std::to_string(context.epoch)},
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

    /// `context` is the incarnation that the start was meant for.
    void logStart(const ControlContext &context, const RunKey &run, const Lease &lease,
                  const MinionAnswer &answer, BootTime began, BootTime startBy)
    {
        const BootTime now = BootClock::now();
        m_metrics.increment("lavender_starts_total",
                            {{"answer", std::string(answerName(answer.answer))}});
        logEvent(
            LogLevel::Info, "agent", "start sent to the minion",
            {{"task", run.task},
             {"run", std::to_string(run.number)},
             {"minion", context.incarnation.id},
             {"bornMs", std::to_string(context.incarnation.bornMs)},
             {"epoch", std::to_string(context.epoch)},
             {"untilMinionMs", std::to_string(lease.untilMinionMs)},
             {"minionClockMs", std::to_string(answer.clockMs)},
             {"answer", std::string(answerName(answer.answer))},
             {"reason", answer.reason},
             {"sinceOrderMs", std::to_string((now - began).count())},
             {"startTimeLeftMs",
              startBy == BootTime::max() ? "unlimited" : std::to_string((startBy - now).count())}});
    }

    Store &m_store;
    Minion &m_minion;
    ExchangeChannel &m_channel;
    Metrics &m_metrics;
    const std::string m_cell;
    std::mutex m_mutex;
    std::condition_variable m_reportNeeded; // wakes the report thread
    std::condition_variable m_ordersAdded;  // wakes the order threads
    std::condition_variable m_confirmed;    // wakes the renewal thread
    RunLedger m_ledger;                     // guarded by m_mutex
    BootTime m_nextPace{};                  // used by the renewal thread only
    std::int64_t m_otherBornMs = 0;      // of another incarnation that answers; guarded by m_mutex
    std::deque<RunOrder> m_orders;       // guarded by m_mutex
    std::optional<Address> m_owner;      // guarded by m_mutex
    bool m_connected = false;            // guarded by m_mutex
    std::vector<std::jthread> m_threads; // declared last, so joined first
};

} // namespace lavenderarch
