// Calls of a simulated agent to its minion, some of which are carried out late or lose their
// answer.
#pragma once

#include "cell_faults.h"
#include "lavenderarch/dispatch/fencing_token.h"
#include "simulated_agent.h"

#include <functional>
#include <vector>

namespace lavenderarch::testing {

/// Makes the calls of all agents. A call without an answer may be carried out seconds later, also
/// by the next incarnation of the minion, since calls name the minion by its id only.
///
/// One case is left out because neither agent nor owner can do anything about it: a start of the
/// former incarnation that reaches the next one before the agent could make a call that is meant
/// for the next one. That is so until a call has been carried out after a renewal was answered.
class SimulatedCalls
{
public:
    /// Which incarnations carry out a late call.
    enum class Reach {
        Incarnation, ///< only the one that was up when the call was made
        Known, ///< that one, or one to which the agent can have made a call that is meant for it
        Id     ///< any one of that id
    };

    SimulatedCalls(RandomEngine &random, const CellFaults &faults)
        : m_random(random)
        , m_faults(faults)
    {
    }

    /// Carries out the late calls that are due.
    void advance(BootTime now)
    {
        m_carryingOutLate = true;
        for (LateCall &late : std::exchange(m_late, {})) {
            if (late.at > now)
                m_late.push_back(std::move(late));
            else if (late.bornMs == late.agent->minion.facts.incarnation.bornMs ||
                     late.reach == Reach::Id ||
                     (late.reach == Reach::Known && late.agent->mayBeFenced))
                late.carryOut(now);
        }
        m_carryingOutLate = false;
    }
    bool carryingOutLate() const { return m_carryingOutLate; }

    /// Carries out the call at `at`.
    void addLate(SimulatedAgent &agent, Reach reach, std::function<void(BootTime)> call,
                 BootTime at)
    {
        m_late.push_back(
            {at, &agent, agent.minion.facts.incarnation.bornMs, reach, std::move(call)});
    }

    /// Carries out a start or a stop, at once or late. Late calls have no answer, and no call has
    /// one while the minion is silent.
    template <typename Call>
    OrderAnswer order(SimulatedAgent &agent, Reach reach, Call call, BootTime now)
    {
        if (now < agent.silentUntil) {
            callSilent(agent, reach, call, now);
            return OrderAnswer::Unknown;
        }
        if (chance(m_faults.lateCall)) {
            addLate(agent, reach, call, now + randomDelay());
            return OrderAnswer::Unknown;
        }
        noteCall(agent);
        const OrderAnswer answer = call(now);
        return chance(m_faults.lostAnswer) ? OrderAnswer::Unknown : answer;
    }

    /// After an attempt without an answer the start may be carried out later, so it is stopped.
    static void abandonStart(SimulatedAgent &agent, RunOrder order, const std::string &reason)
    {
        if (agent.unansweredStarts.erase(order.run) == 0) {
            agent.ledger->startRefused(order.run, reason);
            return;
        }
        order.kind = OrderKind::Stop;
        agent.orders.push_back(order);
    }

    /// Renews the lease and passes the answer to the agent's ledger.
    void renew(SimulatedAgent &agent, BootTime now)
    {
        RunLedger &ledger = *agent.ledger;
        if (!ledger.registered())
            return; // the id of the minion is not known
        const auto lease = ledger.lease(now);
        if (lease)
            ledger.renewalSent(*lease);
        const std::int64_t epoch = ledger.epoch();
        const std::int64_t fence = fencingToken(ledger.facts().incarnation, epoch);
        const auto call = [minion = &agent.minion, lease, fence, ends = ledger.endsToDiscard()](
                              BootTime at) { return minion->renew(lease, fence, ends, at); };
        std::optional<MinionListing> listing;
        if (now < agent.silentUntil) {
            callSilent(agent, Reach::Id, call, now);
        } else if (chance(m_faults.lateCall)) {
            addLate(agent, Reach::Id, call, now + randomDelay());
        } else {
            noteCall(agent);
            listing = call(now);
            if (chance(m_faults.lostAnswer))
                listing.reset();
        }
        if (!listing) {
            ledger.renewalFailed(now);
            return;
        }
        agent.answeredBornMs = listing->bornMs;
        ledger.applyListing(*listing, epoch, now, now);
    }

private:
    struct LateCall
    {
        BootTime at{};
        SimulatedAgent *agent = nullptr;
        std::int64_t bornMs = 0; // of the incarnation that was up when the call was made
        Reach reach = Reach::Id;
        std::function<void(BootTime)> carryOut;
    };

    /// Carries out a call to a silent minion at once, late or not at all.
    template <typename Call>
    void callSilent(SimulatedAgent &agent, Reach reach, Call call, BootTime now)
    {
        const auto outcome = m_random() % 3;
        if (outcome == 0) {
            noteCall(agent);
            call(now);
        } else if (outcome == 1) {
            addLate(agent, reach, call, now + randomDelay());
        }
    }

    bool chance(int oneIn) { return oneIn > 0 && m_random() % static_cast<unsigned>(oneIn) == 0; }

    Milliseconds randomDelay() { return Milliseconds(m_random() % 12'000); }

    static void noteCall(SimulatedAgent &agent)
    {
        agent.mayBeFenced =
            agent.minion.up && agent.answeredBornMs == agent.minion.facts.incarnation.bornMs;
    }

    RandomEngine &m_random;
    const CellFaults &m_faults;
    std::vector<LateCall> m_late;
    bool m_carryingOutLate = false;
};

} // namespace lavenderarch::testing
