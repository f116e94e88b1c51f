// Agent-side state of one minion: its incarnation, its runs, their ends and the lease.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/exchange_reply.h"
#include "lavenderarch/dispatch/exchange_request.h"
#include "lavenderarch/dispatch/minion_listing.h"
#include "lavenderarch/dispatch/start_decision.h"
#include "lavenderarch/dispatch/tail_model.h"

#include <map>
#include <optional>

namespace lavenderarch {

/// Tracks the runs of the agent's minion from start order to reported end. A state machine without
/// sockets, threads or clocks: the caller passes in messages and times. Not thread-safe.
class RunLedger
{
public:
    enum class Phase {
        Starting, ///< start ordered, not yet confirmed by the minion
        Confirmed ///< start confirmed by the minion, or run listed by it
    };
    /// One run that is active or about to start on the minion.
    struct LocalRun
    {
        Phase phase = Phase::Starting;
        BootTime since{};                      ///< time of the start order or of its confirmation
        BootTime startBy = BootTime::max();    ///< the start is not sent from then on
        std::optional<BootTime> stopConfirmed; ///< time of the first answer to a stop
        bool stopRequested = false;
        bool listed = false;   ///< the minion has listed the run
        bool reported = false; ///< a message has carried the current phase
        bool described = true; ///< the fields of describe() are known
        bool onMinion = false; ///< listed, or a start that may take effect has been sent
        /// Resources that the run reserves; unset: the owner has not stated them.
        std::optional<Resources> demand;
        bool bestEffort = false; ///< best-effort
        std::int64_t tailTargetMs = 0;
        std::string image;
        std::int64_t milliCores = 0;
        TailHeadroom headroom; ///< estimate for a serving run
        int progressPercent = 0;
        int pacePercent = 100;
        double load = 0; ///< see MinionListing::Active
        /// Since when the latency of a serving run is near or over its target; unset: it is not.
        BootTime nearTargetSince{};
        std::string checkpoint;

        /// Copies the description of the run from `order`.
        void describe(const RunOrder &order);
    };
    /// The lease as it is sent to the minion.
    struct Lease
    {
        BootTime until{};
        std::int64_t untilMinionMs = 0; ///< the same time on the minion's clock
    };

    /// It is not known which leases former sessions of the agent have sent, so that no run of a
    /// silent minion is reported as absent.
    RunLedger(std::string agent, std::string session);
    /// Former sessions may have sent leases of at most `longestLease` until `startedAt`.
    RunLedger(std::string agent, std::string session, Milliseconds longestLease,
              BootTime startedAt);

    /// When a lease until `until` has certainly lapsed on a minion whose clock was read at
    /// `clockAt` or before.
    static BootTime latestLeaseEnd(BootTime clockAt, BootTime until);

    /// Updates the facts from a registration of the minion. A new incarnation resets the state of
    /// the old one. Returns false and ignores facts of an older incarnation, or of the same
    /// one unless `sequence` is newer.
    bool updateFacts(const MinionFacts &facts, std::int64_t sequence);
    /// The next facts of the current incarnation count, whatever their sequence; not of a minion
    /// that has left, as only a late check-in can follow.
    void forgetFactsSequence();
    /// The minion `id` has deregistered. Its runs end as Absent once it accepts no connection: it
    /// may run on for a while, its last ends may be on their way, and the message may be late.
    void minionLeft(const std::string &id);

    /// The owner has replied to `request`: brief messages on the same snapshot leave its ends out.
    void recordDelivery(const ExchangeRequest &request);
    /// Applies the owner's reply to a message sent at `sentAt`; returns the orders to execute.
    std::vector<RunOrder> applyReply(const ExchangeReply &reply, BootTime sentAt, BootTime now);

    /// Applies the minion's listing in reply to a request of `epoch` sent at `sentAt`. A run is
    /// missing only if the request was sent after its start.
    ///
    /// A listing of a later incarnation shows that the minion has restarted. From then on calls are
    /// meant for that incarnation, which counts as draining, without labels and capacity, until its
    /// registration arrives. The listing itself is not applied: calls that were meant for the
    /// former incarnation may take effect until one that is meant for this one has been answered.
    void applyListing(const MinionListing &listing, std::int64_t epoch, BootTime sentAt,
                      BootTime now);
    /// The minion did not answer a renewal, or accepted no connection. Once it has left, or once
    /// every lease that may have reached it has lapsed, all its runs have ended. Returns the runs
    /// that are reported as absent for that.
    std::vector<RunKey> renewalFailed(BootTime now, bool refusesConnections = false);
    /// Records a lease that is about to be sent and so may reach the minion.
    void renewalSent(const Lease &lease);

    /// Decides whether to send the start of a run now. The run may be on the minion from then on.
    StartDecision decideStart(const RunKey &run);
    void startConfirmed(const RunKey &run, BootTime now);
    void startRefused(const RunKey &run, const std::string &reason);
    void stopConfirmed(const RunKey &run, BootTime now);
    void setPace(const RunKey &run, int percent);

    /// The lease to send to the minion now; nullopt when none is in force or the minion's clock is
    /// not known. The lease is not extended while the minion does not answer.
    std::optional<Lease> lease(BootTime now) const;
    /// True while the run is known and no stop of it has been ordered.
    bool shouldRun(const RunKey &run) const;
    /// The time from which the start of the run is no longer sent; BootTime::max() for none.
    BootTime startBy(const RunKey &run) const;

    /// The next message to the owner: brief if the owner has the current snapshot and that is not
    /// old, otherwise a snapshot. A brief message carries the ends that the owner may not know.
    ExchangeRequest nextMessage(std::int64_t waitMs, BootTime now);
    /// A message with the current state and all unconfirmed ends.
    ExchangeRequest snapshot(std::int64_t waitMs);
    /// A message got no reply or an error, so that the owner may not have it.
    void exchangeFailed();
    /// True when something changed since the last message that the owner must learn soon, such as
    /// an end.
    bool hasUnreportedChanges() const { return m_unreportedChanges; }

    const MinionFacts &facts() const { return m_facts; }
    bool registered() const { return m_registered; }
    bool reachable() const { return m_reachable; }
    bool deregistered() const { return m_deregistered; }
    /// When every lease that may have reached the minion has lapsed.
    BootTime leaseEnd() const { return m_leaseEnd; }
    std::int64_t epoch() const { return m_epoch; }
    std::int64_t endsSeen() const { return m_endsSeen; }
    /// Number up to which the minion may discard its ends. 0 while it does not answer, because a
    /// new incarnation may start under the same id and number its ends from 1 again.
    std::int64_t endsToDiscard() const { return m_reachable ? m_endsSeen : 0; }
    const std::map<RunKey, LocalRun> &runs() const { return m_runs; }
    const TailModel &tailModel() const { return m_tailModel; }

private:
    /// An end that the owner has not confirmed as stored.
    struct UnconfirmedEnd
    {
        RunEnd end;
        /// The snapshot on which the last answered message with this end builds; 0: none.
        std::int64_t knownWith = 0;
    };

    void resetIncarnation();
    void adoptIncarnation(std::int64_t bornMs);
    void updateHeadroom(BootTime now);
    bool hasUnconfirmedEnd(const RunKey &run) const;
    void addAbsent(const RunKey &run, const std::string &reason);
    ExchangeRequest beginMessage(std::int64_t waitMs);
    void appendEnds(ExchangeRequest &request) const;
    static void appendReport(ExchangeRequest &request, const RunKey &run, LocalRun &local);

    std::string m_agent;
    std::string m_session;
    std::int64_t m_nextMessage = 1;
    std::int64_t m_epoch = 0;
    std::int64_t m_orderSeen = 0;
    std::int64_t m_listedEpoch = -1;
    bool m_registered = false;
    bool m_deregistered = false; // since the last registration
    bool m_reachable = false;
    bool m_unreportedChanges = false;
    bool m_ownerHasSnapshot = false;   // the last reply allows brief messages
    bool m_snapshotDue = true;         // brief messages cannot report what has changed
    std::int64_t m_snapshotNumber = 0; // of the newest snapshot
    BootTime m_nextSnapshot{};
    MinionFacts m_facts;
    std::int64_t m_factsSequence = 0;
    std::map<RunKey, LocalRun> m_runs;
    TailModel m_tailModel;                         // weights learned by the owner
    std::map<std::int64_t, UnconfirmedEnd> m_ends; // ends above m_endsSeen
    std::map<RunKey, UnconfirmedEnd> m_absent;
    std::int64_t m_endsSeen = 0;
    BootTime m_grantUntil{};
    std::int64_t m_clockMs = 0;    // the minion's clock
    BootTime m_clockAt{};          // m_clockMs is of this time or earlier; unset: not known
    Lease m_sentLease;             // newest lease of this session that may have reached the minion
    Milliseconds m_longestLease{}; // that a minion keeps; 0: not known
    BootTime m_leaseEnd = BootTime::max(); // each lease that may have reached the minion has lapsed
    bool m_incarnationListed = false;      // the incarnation has answered a renewal
};

} // namespace lavenderarch
