// Writes the log events and counters of an agent's calls to its minion.
#include "lavenderarch/runtime/agent_events.h"

#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/metrics.h"

namespace lavenderarch {

void logStart(Metrics &metrics, const StartAttempt &start, const MinionAnswer &answer)
{
    const BootTime now = BootClock::now();
    metrics.increment("lavender_starts_total",
                      {{"answer", std::string(answerName(answer.answer))}});
    logEvent(LogLevel::Info, "agent", "start sent to the minion",
             {{"task", start.run.task},
              {"run", std::to_string(start.run.number)},
              {"minion", start.context.incarnation.id},
              {"bornMs", std::to_string(start.context.incarnation.bornMs)},
              {"epoch", std::to_string(start.context.epoch)},
              {"untilMinionMs", std::to_string(start.lease.untilMinionMs)},
              {"minionClockMs", std::to_string(answer.clockMs)},
              {"answer", std::string(answerName(answer.answer))},
              {"reason", answer.reason},
              {"capacity", start.decision.capacity.text()},
              {"committed", start.decision.committed.text()},
              {"demand", start.decision.demand.text()},
              {"sinceOrderMs", std::to_string((now - start.orderedAt).count())},
              {"startTimeLeftMs", start.startBy == BootTime::max()
                                      ? "unlimited"
                                      : std::to_string((start.startBy - now).count())}});
}

void logStartWithheld(Metrics &metrics, const RunKey &run, const StartDecision &decision)
{
    const bool noRoom = decision.verdict == StartDecision::Verdict::Refuse;
    metrics.increment("lavender_starts_withheld_total",
                      {{"reason", noRoom ? "room" : "unreachable"}});
    logEvent(LogLevel::Warning, "agent", "start withheld from the minion",
             {{"task", run.task},
              {"run", std::to_string(run.number)},
              {"reason", decision.reason},
              {"minion", decision.incarnation.id},
              {"bornMs", std::to_string(decision.incarnation.bornMs)},
              {"capacity", decision.capacity.text()},
              {"committed", decision.committed.text()},
              {"demand", decision.demand.text()}});
}

void logStop(const ControlContext &context, const RunKey &run, const MinionAnswer &answer)
{
    logEvent(LogLevel::Info, "agent", "stop sent to the minion",
             {{"task", run.task},
              {"run", std::to_string(run.number)},
              {"minion", context.incarnation.id},
              {"bornMs", std::to_string(context.incarnation.bornMs)},
              {"epoch", std::to_string(context.epoch)},
              {"answer", std::string(answerName(answer.answer))},
              {"reason", answer.reason}});
}

void logAbsent(const RunLedger &ledger, const std::vector<RunKey> &runs)
{
    const auto lapsedFor = BootClock::now() - ledger.leaseEnd();
    for (const RunKey &run : runs)
        logEvent(LogLevel::Warning, "agent", "run given up: the minion does not answer",
                 {{"task", run.task},
                  {"run", std::to_string(run.number)},
                  {"minion", ledger.facts().incarnation.id},
                  {"bornMs", std::to_string(ledger.facts().incarnation.bornMs)},
                  {"deregistered", ledger.deregistered() ? "yes" : "no"},
                  {"allLeasesLapsedMsAgo", std::to_string(lapsedFor.count())}});
}

void logRegistered(const MinionIncarnation &former, const MinionFacts &facts, std::int64_t sequence)
{
    logEvent(LogLevel::Info, "agent", "minion registered",
             {{"minion", facts.incarnation.id},
              {"bornMs", std::to_string(facts.incarnation.bornMs)},
              {"formerBornMs", std::to_string(former.bornMs)},
              {"draining", facts.draining ? "yes" : "no"},
              {"sequence", std::to_string(sequence)}});
}

void logReachability(const MinionIncarnation &incarnation, const Status &renewal)
{
    const std::string bornMs = std::to_string(incarnation.bornMs);
    if (renewal.ok())
        logEvent(LogLevel::Info, "agent", "minion is reachable",
                 {{"minion", incarnation.id}, {"bornMs", bornMs}});
    else
        logFailure("agent", "minion is unreachable", renewal,
                   {{"minion", incarnation.id}, {"bornMs", bornMs}});
}

void logOtherIncarnation(const MinionIncarnation &expected, const MinionListing &listing)
{
    logEvent(LogLevel::Warning, "agent", "another incarnation of the minion answered",
             {{"minion", expected.id},
              {"bornMs", std::to_string(expected.bornMs)},
              {"answeringBornMs", std::to_string(listing.bornMs)},
              {"minionClockMs", std::to_string(listing.clockMs)},
              {"running", std::to_string(listing.active.size())}});
}

} // namespace lavenderarch
