// The agent's threads: reports to the cell's owner, lease renewals and orders to the minion.
#pragma once

#include "lavenderarch/dispatch/minion_registration.h"
#include "lavenderarch/dispatch/pace_controller.h"
#include "lavenderarch/dispatch/run_ledger.h"
#include "lavenderarch/runtime/agent_events.h"
#include "lavenderarch/runtime/agent_times.h"
#include "lavenderarch/runtime/exchange_channel.h"
#include "lavenderarch/runtime/incarnation_query.h"
#include "lavenderarch/runtime/minion_control.h"
#include "lavenderarch/runtime/owner_lookup.h"
#include "lavenderarch/storage/row_store.h"
#include "lavenderarch/telemetry/invalid_entries.h"
#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/metrics.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace lavenderarch {

/// Runs the agent's threads from construction to destruction. Does not own the store, the minion,
/// the channel or the metrics, which must outlive it. Thread-safe: m_mutex is the only lock, and no
/// call to the store, the minion or the owner is made while it is held.
template <RowStore Store, MinionControl Minion>
class AgentLoop
{
public:
    /// Former sessions of the agent have sent leases of at most `longestLease`.
    AgentLoop(Store &store, Minion &minion, ExchangeChannel &channel, Metrics &metrics,
              std::string cell, std::string agent, std::string session, Milliseconds longestLease)
        : m_store(store)
        , m_minion(minion)
        , m_channel(channel)
        , m_metrics(metrics)
        , m_cell(std::move(cell))
        , m_invalidCheckIns(metrics, "unconfirmed check-in")
        , m_invalidRows(metrics, "listing")
        , m_ledger(std::move(agent), std::move(session), longestLease, BootClock::now())
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

    /// Handles a check-in. One of another incarnation takes effect once the minion confirms it.
    void checkIn(const MinionFacts &facts, std::int64_t sequence)
    {
        const std::scoped_lock lock(m_mutex);
        const BootTime now = BootClock::now();
        const MinionIncarnation &current = m_ledger.facts().incarnation;
        if (m_ledger.registered() && current == facts.incarnation)
            updateFacts(facts, sequence, now);
        else if (!m_ledger.registered() || facts.incarnation.bornMs >= current.bornMs)
            m_registration.offer(facts, sequence, now);
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
    using Verdict = StartDecision::Verdict;

    /// Requires m_mutex.
    void updateFacts(const MinionFacts &facts, std::int64_t sequence, BootTime now)
    {
        const MinionFacts previous = m_ledger.facts();
        bool updated = m_ledger.updateFacts(facts, sequence);
        if (!updated && now - m_factsAt > factsSilence) {
            m_ledger.forgetFactsSequence();
            updated = m_ledger.updateFacts(facts, sequence);
        }
        if (updated)
            m_factsAt = now;
        if (updated &&
            (previous.incarnation != facts.incarnation || previous.draining != facts.draining))
            logRegistered(previous.incarnation, facts, sequence);
        m_reportNeeded.notify_one();
    }

    /// Asks the minion which of the incarnations that have checked in it is. One with the id of the
    /// registered incarnation is confirmed by the renewals instead.
    void confirmRegistration()
    {
        std::vector<MinionIncarnation> unconfirmed;
        std::string registered;
        std::int64_t epoch = 0;
        {
            const std::scoped_lock lock(m_mutex);
            unconfirmed = m_registration.unconfirmed(BootClock::now());
            registered = m_ledger.registered() ? m_ledger.facts().incarnation.id : "";
            epoch = m_ledger.epoch();
        }
        for (const MinionIncarnation &incarnation : unconfirmed) {
            if (incarnation.id == registered)
                continue;
            const auto listing = askForIncarnation(m_minion, incarnation, epoch);
            const std::scoped_lock lock(m_mutex);
            if (listing.ok())
                confirm(incarnation, *listing);
            else if (kindOf(listing.status()) == ErrorKind::StaleCommand)
                m_invalidCheckIns.add(listing.status(), incarnation.id);
        }
    }

    /// Requires m_mutex. The minion has answered a call that named the id of `incarnation`.
    void confirm(const MinionIncarnation &incarnation, const MinionListing &listing)
    {
        if (const auto checkIn = m_registration.confirm(incarnation, listing))
            updateFacts(checkIn->facts, checkIn->sequence, BootClock::now());
        else if (listing.bornMs != 0 && listing.bornMs != incarnation.bornMs)
            m_invalidCheckIns.add(
                makeError(ErrorKind::StaleCommand,
                          "the minion was born at " + std::to_string(listing.bornMs)),
                incarnation.id + " born at " + std::to_string(incarnation.bornMs));
    }

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
        if (const auto address =
                readOwnerAddress(m_store, m_cell, BootClock::now() + lookupTimeout)) {
            const std::scoped_lock lock(m_mutex);
            if (std::exchange(m_owner, address) != address)
                return;
        }
        std::this_thread::sleep_for(lookupPause);
    }

    void renew(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            confirmRegistration();
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
            else if (applied && (!listing->ends.empty() || listing->unreadableRows > 0))
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
                if (listing->unreadableRows > 0)
                    m_invalidRows.add(makeError(ErrorKind::CorruptedAnswer,
                                                "rows that name no run: " +
                                                    std::to_string(listing->unreadableRows)),
                                      context.incarnation.id);
                logAnsweringIncarnation(context, *listing);
                m_ledger.applyListing(*listing, context.epoch, sentAt, BootClock::now());
                if (!listedBy(context, *listing))
                    confirm({context.incarnation.id, listing->bornMs}, *listing);
                if (BootClock::now() >= m_nextPace) {
                    paces = decidePaces(m_ledger, BootClock::now());
                    m_nextPace = BootClock::now() + paceInterval;
                }
            } else {
                logAbsent(m_ledger,
                          m_ledger.renewalFailed(BootClock::now(), kindOf(listing.status()) ==
                                                                       ErrorKind::Unreachable));
            }
            if (reachable != m_ledger.reachable())
                logReachability(context.incarnation, listing.status());
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
        if (std::exchange(m_otherBornMs, answering) != answering && other)
            logOtherIncarnation(context.incarnation, listing);
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
            StartDecision decision;
            {
                const std::scoped_lock lock(m_mutex);
                if (!m_ledger.shouldRun(order.run))
                    return;
                startBy = m_ledger.startBy(order.run);
                context = {m_ledger.facts().incarnation, m_ledger.epoch()};
                if (!m_ledger.facts().draining)
                    lease = m_ledger.lease(BootClock::now());
                if (lease)
                    decision = m_ledger.decideStart(order.run);
                if (decision.verdict == Verdict::Send)
                    m_ledger.renewalSent(*lease);
            }
            const BootTime now = BootClock::now();
            const bool late = now >= std::min(began + startTimeout, startBy);
            MinionAnswer answer;
            if (lease && !late && decision.verdict != Verdict::Send) {
                const bool waits = decision.verdict == Verdict::Wait &&
                                   (mayHaveStarted || now < began + unreachableWait);
                if (waits) {
                    std::this_thread::sleep_for(orderRetryPause);
                    continue;
                }
                logStartWithheld(m_metrics, order.run, decision);
                answer = {OrderAnswer::Refused, decision.reason, 0};
            } else if (lease && !late) {
                answer = m_minion.start(context, order, *lease,
                                        std::min(now + orderAttemptTimeout, startBy));
                logStart(m_metrics, {context, order.run, *lease, decision, began, startBy}, answer);
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
            mayHaveStarted = true;
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
            logStop(context, run, answer);
            if (answer.answer == OrderAnswer::Accepted || answer.answer == OrderAnswer::Ended) {
                const std::scoped_lock lock(m_mutex);
                m_ledger.stopConfirmed(run, BootClock::now());
                return;
            }
            std::this_thread::sleep_for(orderRetryPause);
        }
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
    InvalidEntries m_invalidCheckIns;
    InvalidEntries m_invalidRows;
    MinionRegistration m_registration;   // guarded by m_mutex
    RunLedger m_ledger;                  // guarded by m_mutex
    BootTime m_factsAt{};                // of the newest check-in in m_ledger; guarded by m_mutex
    BootTime m_nextPace{};               // used by the renewal thread only
    std::int64_t m_otherBornMs = 0;      // of another incarnation that answers; guarded by m_mutex
    std::deque<RunOrder> m_orders;       // guarded by m_mutex
    std::optional<Address> m_owner;      // guarded by m_mutex
    bool m_connected = false;            // guarded by m_mutex
    std::vector<std::jthread> m_threads; // declared last, so joined first
};

} // namespace lavenderarch
