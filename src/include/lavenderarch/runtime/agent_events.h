// Log events and counters of an agent's calls to its minion.
#pragma once

#include "lavenderarch/dispatch/run_ledger.h"
#include "lavenderarch/runtime/minion_control.h"

namespace lavenderarch {

class Metrics;

/// A start that has been sent, and what it was based on.
struct StartAttempt
{
    ControlContext context; ///< incarnation that it was meant for
    RunKey run;
    RunLedger::Lease lease;
    StartDecision decision;
    BootTime orderedAt{};
    BootTime startBy{}; ///< BootTime::max() for no deadline
};

void logStart(Metrics &metrics, const StartAttempt &start, const MinionAnswer &answer);
/// Logs a start that is not sent to the minion.
void logStartWithheld(Metrics &metrics, const RunKey &run, const StartDecision &decision);
void logStop(const ControlContext &context, const RunKey &run, const MinionAnswer &answer);
/// Logs the runs that the ledger has reported as absent since the minion does not answer.
void logAbsent(const RunLedger &ledger, const std::vector<RunKey> &runs);
/// Logs that the minion registers in place of the `former` incarnation.
void logRegistered(const MinionIncarnation &former, const MinionFacts &facts,
                   std::int64_t sequence);
/// Logs that a renewal has changed whether the minion answers; `renewal` is OK if it answered.
void logReachability(const MinionIncarnation &incarnation, const Status &renewal);
/// Logs a listing by another incarnation than the `expected` one.
void logOtherIncarnation(const MinionIncarnation &expected, const MinionListing &listing);

} // namespace lavenderarch
