// What an agent knows of its minion: its life, its runs, their ends and the lease.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/exchange_reply.h"
#include "lavenderarch/dispatch/exchange_request.h"
#include "lavenderarch/dispatch/minion_listing.h"
#include "lavenderarch/dispatch/tail_model.h"

#include <map>
#include <optional>

namespace lavenderarch {

/// A state machine without sockets, threads or clocks. Not thread-safe.
class RunLedger
{
public:
    enum class Phase {
        Starting, ///< ordered; the minion has not confirmed it
        Confirmed ///< the minion confirmed it, or lists it
    };
    /// One run that the minion has or is about to have.
    struct LocalRun
    {
        Phase phase = Phase::Starting;
        BootTime since{};                      ///< order, or confirmation of the start
        std::optional<BootTime> stopConfirmed; ///< the minion answered a stop
        bool stopRequested = false;
        bool listed = false; ///< in the minion's newest listing
        bool described = true;
        bool fills = false;
        std::int64_t tailTargetMs = 0;
        std::string image;
        std::int64_t milliCores = 0;
        TailHeadroom headroom; ///< of a serving run
        int progressPercent = 0;
        int pacePercent = 100;
        double load = 0;
        BootTime nearTargetSince{}; ///< since when a serving run's tail is near or over its target
        std::string checkpoint;

        /// Takes over what an order says of the run.
        void describe(const RunOrder &order);
    };
    /// The lease as the minion is to be told it.
    struct Lease
    {
        BootTime until{};
        std::int64_t untilMinionMs = 0; ///< the same on the minion's clock
    };

    RunLedger(std::string agent, std::string session);

    /// Takes what the minion said of itself. A new life starts from nothing; an older life, or an
    /// older `sequence` of the same life, is ignored (false).
    bool updateFacts(const MinionFacts &facts, std::int64_t sequence);
    /// The minion has left or registered elsewhere.
    void minionLeft(const std::string &id);

    /// Takes the owner's answer to a message sent at `sentAt`; returns the orders to carry out.
    std::vector<RunOrder> applyReply(const ExchangeReply &reply, BootTime sentAt, BootTime now);

    /// Takes a listing that the minion gave for a request of `epoch` sent at `sentAt`.
    void applyListing(const MinionListing &listing, std::int64_t epoch, BootTime sentAt,
                      BootTime now);
    /// The minion did not answer a renewal; after the lease everything there has ended.
    void renewalFailed(BootTime now);
    /// The newest lease end that may have reached the minion.
    void renewalSent(const Lease &lease);

    void startConfirmed(const RunKey &run, BootTime now);
    void startRefused(const RunKey &run, const std::string &reason);
    void stopConfirmed(const RunKey &run, BootTime now);
    void setPace(const RunKey &run, int percent);

    /// The lease that may be passed on now; nothing when none is in force or the minion's clock
    /// is not known. While the minion is silent the lease is not extended.
    std::optional<Lease> lease(BootTime now) const;
    bool shouldRun(const RunKey &run) const;

    ExchangeRequest snapshot(std::int64_t waitMs);
    /// True when ends wait that no snapshot has carried yet.
    bool hasUnreportedChanges() const { return m_unreportedChanges; }

    const MinionFacts &facts() const { return m_facts; }
    bool registered() const { return m_registered; }
    bool reachable() const { return m_reachable; }
    std::int64_t epoch() const { return m_epoch; }
    std::int64_t endsSeen() const { return m_endsSeen; }
    /// Ends that the minion may forget. None while it is silent: it may begin a new life under its
    /// id, whose ends are numbered anew.
    std::int64_t endsToForget() const { return m_reachable ? m_endsSeen : 0; }
    const std::map<RunKey, LocalRun> &runs() const { return m_runs; }
    const TailModel &tailModel() const { return m_tailModel; }

private:
    void resetIncarnation();
    void updateHeadroom(BootTime now);
    void addAbsent(const RunKey &run, const std::string &reason);

    std::string m_agent;
    std::string m_session;
    std::int64_t m_nextMessage = 1;
    std::int64_t m_epoch = 0;
    std::int64_t m_orderSeen = 0;
    std::int64_t m_listedEpoch = -1;
    bool m_registered = false;
    bool m_reachable = false;
    bool m_unreportedChanges = false;
    MinionFacts m_facts;
    std::int64_t m_factsSequence = 0;
    std::map<RunKey, LocalRun> m_runs;
    TailModel m_tailModel;                 // weights as the owner learned them
    std::map<std::int64_t, RunEnd> m_ends; // above m_endsSeen
    std::map<RunKey, RunEnd> m_absent;
    std::int64_t m_endsSeen = 0;
    BootTime m_grantUntil{};
    std::int64_t m_clockMs = 0; // the minion's clock ...
    BootTime m_clockAt{};       // ... as of this moment or earlier; unset: not known
    Lease m_sentLease;          // newest that may have reached the minion
};

} // namespace lavenderarch
