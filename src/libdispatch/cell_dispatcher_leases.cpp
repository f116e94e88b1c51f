// Leases of the minions: their grants in the replies to agents, and the end of runs without one.
#include "lavenderarch/core/invariant.h"
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "lapse_time.h"
#include "placement.h"

#include <algorithm>

namespace lavenderarch {
ExchangeReply CellDispatcher::reply(const ExchangeRequest &request, BootTime arrived, bool mayGrant)
{
    // A message of another session has arrived meanwhile, which the grant and the orders are for.
    const MinionView &view = m_minions[request.agent];
    if (view.session == request.session)
        return reply(request.agent, arrived, mayGrant);
    ExchangeReply reply;
    reply.epoch = m_epoch;
    reply.incarnation = view.facts.incarnation;
    return reply;
}

ExchangeReply CellDispatcher::reply(const std::string &agent, BootTime arrived, bool mayGrant)
{
    MinionView &view = m_minions[agent];
    ExchangeReply reply;
    reply.epoch = m_epoch;
    reply.grantMs = mayGrant && view.reachable ? m_limits.leaseMs : 0;
    reply.incarnation = view.facts.incarnation;
    if (reply.grantMs > 0)
        view.leaseStart = std::max(view.leaseStart, arrived);
    // The agent counts the lease from the sending of its request, which is earlier.
    LAVENDER_INVARIANT(reply.grantMs == 0 || view.leaseStart >= arrived,
                       "a granted lease counts from the arrival of its request or later");
    if (!mayGrant)
        return reply;
    reply.endsSeen = view.endsSeen;
    reply.absentSeen = std::exchange(view.absentSeen, {});
    reply.orders.assign(view.outbox.begin(), view.outbox.end());
    for (RunOrder &order : reply.orders) {
        // Jobs cancelled and data centres evacuated since the placement are known by now, so that
        // the deadline follows from the newest inputs.
        if (order.kind == OrderKind::Start)
            order.startWithinMs = startWithinMs(view, arrived);
    }
    reply.snapshotSeen = std::exchange(view.snapshotDue, false) ? 0 : view.snapshot;
    if (std::exchange(view.weightsDue, false))
        reply.weights = tailWeights(view, m_tailModel);
    return reply;
}

void CellDispatcher::assumeLeases(BootTime now)
{
    m_assumedLeaseStart = std::max(m_assumedLeaseStart, now);
    for (auto &[agent, view] : m_minions)
        assumeStrayLease(view, now);
}

void CellDispatcher::endLapsedLeases(BootTime now)
{
    const Milliseconds lapse = lapseTime(m_limits.leaseMs);
    for (auto &[agent, view] : m_minions) {
        const BootTime leaseStart = std::max(view.leaseStart, m_assumedLeaseStart);
        if (view.runs.empty() || now - leaseStart <= lapse || now <= view.strayLeaseUntil)
            continue;
        recordEvent("minion lease lapsed without renewal",
                    {{"agent", agent},
                     {"minion", view.facts.incarnation.id},
                     {"bornMs", std::to_string(view.facts.incarnation.bornMs)},
                     {"countedFrom", view.leaseStart == leaseStart ? "own grant" : "takeover"},
                     {"leaseAgeMs", std::to_string((now - leaseStart).count())},
                     {"heardMsAgo", std::to_string((now - view.lastHeard).count())}});
        endLapsedRuns(view, "the lease lapsed", now);
        view.registered = false;
    }
}

void CellDispatcher::endLapsedRuns(MinionView &view, const std::string &reason, BootTime now)
{
    const auto runs = view.runs;
    for (const RunKey &run : runs) {
        const auto [job, task] = locate(run.task);
        if (task != nullptr)
            finishRun(*job, *task, {0, run, RunOutcome::Lapsed, "", reason}, now);
    }
    view.outbox.clear();
}

} // namespace lavenderarch
