// An agent of a simulated cell: its ledger, its minion and what is on its way.
#pragma once

#include "lavenderarch/dispatch/run_ledger.h"
#include "simulated_minion.h"

#include <deque>
#include <memory>
#include <set>

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
    BootTime silentUntil{}; // the agent gets no answers from its minion
    std::unique_ptr<RunLedger> ledger;
    std::deque<RunOrder> orders;
    std::set<RunKey> unansweredStarts; // starts that may still be carried out
    std::int64_t answeredBornMs = 0;   // incarnation that answered the last answered renewal
    /// The minion's incarnation has carried out a call that the agent made knowing it.
    bool mayBeFenced = false;
    std::optional<LateReply> lateReply; // no request is sent before it arrives
    BootTime partitionedUntil{};
    BootTime nextPoll{};
    BootTime nextCheckIn{};
    BootTime checkInsLostUntil{};
    BootTime nextRenewal{};
    std::optional<BootTime> endsAt; // when the agent's process ends permanently
    BootTime restartAt{};           // when a crashed minion starts a new incarnation
    std::int64_t sequence = 0;

    /// Starts a session of the agent's process after a former one.
    void beginSession(int session, BootTime now)
    {
        ledger = std::make_unique<RunLedger>(name, "s" + std::to_string(session),
                                             Milliseconds(SimulatedMinion::longestLeaseMs), now);
        orders.clear();
        unansweredStarts.clear();
        lateReply.reset(); // its connection ended with the former process
    }

    /// True while a start waits until the minion answers a renewal. It is given up after 3 s.
    bool awaitsAnswer(const RunKey &run, BootTime now) const
    {
        return !ledger->reachable() && now < ledger->startBy(run) &&
               now < ledger->runs().at(run).since + Milliseconds(3000);
    }
};

} // namespace lavenderarch::testing
