// The agent's guard of its minion's capacity.
#include "lavenderarch/dispatch/run_ledger.h"

namespace lavenderarch {

/// Counts each run that is or may be on the minion: listed, sent, also without an answer, or being
/// stopped. Starts that have not been sent do not count, so that the first one sent gets the room.
StartDecision RunLedger::decideStart(const RunKey &run)
{
    StartDecision decision;
    decision.incarnation = m_facts.incarnation;
    decision.capacity = m_facts.capacity;
    const auto found = m_runs.find(run);
    if (found == m_runs.end() || !m_reachable) {
        decision.reason = "the minion's current incarnation has not answered";
        return decision;
    }
    LocalRun &local = found->second;
    std::string undescribed;
    for (const auto &[other, otherRun] : m_runs) {
        if (!otherRun.onMinion || other == run)
            continue;
        if (otherRun.demand)
            decision.committed = decision.committed + *otherRun.demand;
        else
            undescribed = other.task;
    }
    decision.verdict = StartDecision::Verdict::Send;
    // An owner of an earlier version does not state demands; it alone guards the capacity then.
    if (local.demand) {
        decision.demand = *local.demand;
        const bool fits = (decision.committed + decision.demand).fitsInto(decision.capacity);
        if (!undescribed.empty() || !fits) {
            decision.verdict = StartDecision::Verdict::Refuse;
            decision.reason = noRoomReason;
            return decision;
        }
    }
    local.onMinion = true;
    return decision;
}

} // namespace lavenderarch
