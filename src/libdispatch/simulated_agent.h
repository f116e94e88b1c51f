// An agent of a simulated cell: its ledger, its minion and what is on its way.
#pragma once

#include "lavenderarch/dispatch/run_ledger.h"
#include "simulated_minion.h"
#include "simulated_silence.h"

#include <deque>
#include <memory>

namespace lavenderarch::testing {

/// A reply of the owner on its way to an agent.
struct LateReply
{
    BootTime at{};
    BootTime sentAt{}; // of the request
    ExchangeRequest request;
    ExchangeReply reply;
};

/// An agent of a simulated cell with its minion.
struct SimulatedAgent
{
    std::string name;
    SimulatedMinion minion;
    SimulatedSilence silence;
    std::unique_ptr<RunLedger> ledger;
    std::deque<RunOrder> orders;
    std::optional<LateReply> lateReply; // no request is sent before it arrives
    BootTime partitionedUntil{};
    BootTime nextPoll{};
    BootTime nextCheckIn{};
    BootTime nextRenewal{};
    std::optional<BootTime> endsAt; // when the agent's process ends permanently
    BootTime restartAt{};           // when a crashed minion starts a new incarnation
    std::int64_t sequence = 0;

    /// Starts a session of the agent's process after a former one that may have sent leases of
    /// `longestLease` until now.
    void beginSession(int session, BootTime now, Milliseconds longestLease)
    {
        ledger = std::make_unique<RunLedger>(name, "s" + std::to_string(session),
                                             RunLedger::latestLeaseEnd(now, now + longestLease));
        orders.clear();
        lateReply.reset(); // its connection ended with the former process
    }
};

/// A start order that its agent executes late.
struct DelayedStart
{
    BootTime at{};
    SimulatedAgent *agent = nullptr;
    MinionIncarnation incarnation;
    RunOrder order;
    std::int64_t fence = 0;
    std::int64_t untilMs = 0;
};

} // namespace lavenderarch::testing
