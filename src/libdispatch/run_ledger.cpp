// Tracks the runs, ends and lease of one minion on the agent's side.
#include "lavenderarch/dispatch/run_ledger.h"

#include <algorithm>
#include <limits>
#include <set>

namespace lavenderarch {
namespace {

/// A minion's clock may run slow by up to 2 %.
constexpr std::int64_t maxClockDriftPercent = 2;
/// Additional wait after the lease before the runs of an unresponsive minion count as ended.
constexpr Milliseconds expiryMargin{200};
/// The latencies in listings are rough, so this share of the target already counts as over it.
constexpr double nearTargetShare = 0.9;
/// Time between two snapshots while nothing changes that needs one. A poll waits as long.
constexpr Milliseconds snapshotInterval{900};
/// The same beside a serving task: the owner's tail model takes figures this often.
constexpr Milliseconds servingSnapshotInterval{450};

} // namespace

RunLedger::RunLedger(std::string agent, std::string session)
    : m_agent(std::move(agent))
    , m_session(std::move(session))
{
}

RunLedger::RunLedger(std::string agent, std::string session, Milliseconds longestLease,
                     BootTime startedAt)
    : m_agent(std::move(agent))
    , m_session(std::move(session))
    , m_longestLease(longestLease)
    , m_leaseEnd(latestLeaseEnd(startedAt, startedAt + longestLease))
{
}

BootTime RunLedger::latestLeaseEnd(BootTime clockAt, BootTime until)
{
    return clockAt + (until - clockAt) * 100 / (100 - maxClockDriftPercent) + expiryMargin;
}

void RunLedger::LocalRun::describe(const RunOrder &order)
{
    described = true;
    bestEffort = order.bestEffort;
    tailTargetMs = order.tailTargetMs;
    image = order.image;
    milliCores = order.milliCores;
    if (order.reserved())
        demand = order.reserved();
}

void RunLedger::resetIncarnation()
{
    m_runs.clear();
    m_ends.clear();
    m_absent.clear();
    m_endsSeen = 0;
    m_clockAt = {};
    m_sentLease = {};
    m_incarnationListed = false;
    m_listedEpoch = -1;
    m_reachable = false;
}

void RunLedger::adoptIncarnation(std::int64_t bornMs)
{
    resetIncarnation();
    m_facts.incarnation.bornMs = bornMs;
    // It may be of another kind than the former one, so nothing is known to fit.
    m_facts.labels.clear();
    m_facts.capacity = Resources();
    m_facts.draining = true;
    m_facts.remainingMs = 0;
    m_factsSequence = std::numeric_limits<std::int64_t>::min();
    m_unreportedChanges = true;
    m_snapshotDue = true;
}

bool RunLedger::updateFacts(const MinionFacts &facts, std::int64_t sequence)
{
    const bool sameIncarnation = m_facts.incarnation == facts.incarnation;
    if (m_registered && facts.incarnation.bornMs < m_facts.incarnation.bornMs)
        return false;
    if (m_registered && sameIncarnation && sequence <= m_factsSequence)
        return false;
    if (!sameIncarnation) {
        resetIncarnation();
        m_unreportedChanges = true;
    }
    m_unreportedChanges =
        m_unreportedChanges || !m_registered || facts.draining != m_facts.draining;
    m_snapshotDue = m_snapshotDue || !m_registered || facts != m_facts;
    m_facts = facts;
    m_factsSequence = sequence;
    m_registered = true;
    m_deregistered = false;
    return true;
}

void RunLedger::forgetFactsSequence()
{
    if (!m_deregistered)
        m_factsSequence = 0;
}

void RunLedger::minionLeft(const std::string &id)
{
    if (id != m_facts.incarnation.id)
        return;
    m_deregistered = true;
    m_facts.draining = true;
    m_unreportedChanges = true;
    m_snapshotDue = true;
}

bool RunLedger::hasUnconfirmedEnd(const RunKey &run) const
{
    return std::any_of(m_ends.begin(), m_ends.end(),
                       [&](const auto &entry) { return entry.second.end.run == run; });
}

void RunLedger::addAbsent(const RunKey &run, const std::string &reason)
{
    m_absent[run] = {{0, run, RunOutcome::Absent, "", reason}, 0};
    m_unreportedChanges = true;
}

void RunLedger::recordDelivery(const ExchangeRequest &request)
{
    // An owner that accepts a brief message has processed all answered messages that build on the
    // same snapshot. One that it ignored was overtaken by a message with the same ends.
    const std::int64_t snapshot = request.brief ? request.snapshot : request.number;
    for (const RunEnd &end : request.ends) {
        if (const auto numbered = m_ends.find(end.number); numbered != m_ends.end())
            numbered->second.knownWith = snapshot;
        else if (const auto absent = m_absent.find(end.run);
                 end.number == 0 && absent != m_absent.end())
            absent->second.knownWith = snapshot;
    }
}

std::vector<RunOrder> RunLedger::applyReply(const ExchangeReply &reply, BootTime sentAt,
                                            BootTime now)
{
    std::vector<RunOrder> accepted;
    if (reply.epoch < m_epoch)
        return accepted;
    if (reply.epoch > m_epoch) {
        m_epoch = reply.epoch;
        m_orderSeen = 0;
        m_listedEpoch = -1;
        // A former owner of an earlier version has not stated all demands.
        for (auto &[run, local] : m_runs)
            local.described = local.described && local.demand;
    }
    const BootTime granted = sentAt + Milliseconds(reply.grantMs);
    if (reply.grantMs > 0)
        m_grantUntil = std::max(m_grantUntil, granted);
    const bool sameIncarnation = reply.incarnation == m_facts.incarnation;
    m_ownerHasSnapshot = sameIncarnation && reply.snapshotSeen > 0;
    if (sameIncarnation && reply.endsSeen > m_endsSeen && m_ends.count(reply.endsSeen) != 0)
        m_endsSeen = reply.endsSeen;
    m_ends.erase(m_ends.begin(), m_ends.upper_bound(m_endsSeen));
    for (const RunKey &run : reply.absentSeen)
        m_absent.erase(run);
    for (const TailWeight &weight : reply.weights)
        m_tailModel.setWeight(weight);
    for (const RunOrder &order : reply.orders) {
        if (order.sequence <= m_orderSeen)
            continue;
        // Orders for another incarnation stay unconfirmed: the owner drops them once it learns of
        // the current one. After a restart of the agent, the owner repeats its orders until the
        // minion has registered again.
        if (!sameIncarnation || !m_registered)
            break;
        m_orderSeen = order.sequence;
        if (order.kind == OrderKind::Start) {
            LocalRun run;
            run.since = now;
            // Counted from the request, like the lease, as the transfer time is unknown. After that
            // lease the owner may have ended the run, even if it has granted another one since.
            run.startBy = granted;
            if (order.startWithinMs >= 0)
                run.startBy = std::min(granted, sentAt + Milliseconds(order.startWithinMs));
            if (m_facts.draining || now >= run.startBy) {
                addAbsent(order.run, m_facts.draining     ? "the minion drains"
                                     : reply.grantMs == 0 ? "no lease"
                                                          : "received after its start deadline");
                continue;
            }
            run.describe(order);
            const auto known = m_runs.find(order.run);
            run.onMinion = known != m_runs.end() && known->second.onMinion;
            m_runs.insert_or_assign(order.run, run);
        } else if (order.kind == OrderKind::Stop) {
            const auto [entry, added] = m_runs.try_emplace(order.run);
            LocalRun &run = entry->second;
            // A start of another session or incarnation may still take effect, but not a run whose
            // end the owner had not read when it ordered the stop.
            run.onMinion = run.onMinion || (added && !hasUnconfirmedEnd(order.run));
            if (order.reserved())
                run.demand = order.reserved();
            if (std::exchange(run.stopRequested, true))
                continue; // already in progress or confirmed
        } else if (const auto run = m_runs.find(order.run); run != m_runs.end()) {
            run->second.describe(order);
        }
        if (order.kind != OrderKind::Describe)
            accepted.push_back(order);
    }
    return accepted;
}

void RunLedger::applyListing(const MinionListing &listing, std::int64_t epoch, BootTime sentAt,
                             BootTime now)
{
    if (listing.bornMs != 0 && listing.bornMs != m_facts.incarnation.bornMs) {
        if (m_registered && listing.bornMs > m_facts.incarnation.bornMs)
            adoptIncarnation(listing.bornMs);
        m_unreportedChanges = m_unreportedChanges || m_reachable;
        m_reachable = false;
        return;
    }
    // Calls that were meant for a former incarnation may have given this one the longest lease.
    if (!std::exchange(m_incarnationListed, true))
        m_leaseEnd = std::max(m_leaseEnd, latestLeaseEnd(now, now + m_longestLease));
    m_unreportedChanges = m_unreportedChanges || !m_reachable;
    m_reachable = true;
    m_clockMs = listing.clockMs;
    m_clockAt = now;
    m_listedEpoch = epoch;
    std::set<RunKey> present;
    for (const auto &active : listing.active) {
        present.insert(active.run);
        const auto [entry, added] = m_runs.try_emplace(active.run);
        LocalRun &run = entry->second;
        run.described = run.described && !added;
        run.reported = run.reported && run.phase == Phase::Confirmed;
        run.phase = Phase::Confirmed;
        run.listed = true;
        run.onMinion = true;
        run.progressPercent = active.progressPercent;
        run.checkpoint = active.checkpoint;
        run.load = active.load;
        const bool over = run.tailTargetMs > 0 &&
                          run.load > nearTargetShare * static_cast<double>(run.tailTargetMs);
        if (!over)
            run.nearTargetSince = {};
        else if (run.nearTargetSince == BootTime{})
            run.nearTargetSince = now;
    }
    updateHeadroom(now);
    for (const RunEnd &end : listing.ends) {
        m_runs.erase(end.run);
        if (end.number > m_endsSeen)
            m_unreportedChanges =
                m_ends.emplace(end.number, UnconfirmedEnd{end, 0}).second || m_unreportedChanges;
    }
    for (auto entry = m_runs.begin(); entry != m_runs.end();) {
        LocalRun &run = entry->second;
        const bool stopped = run.stopConfirmed && *run.stopConfirmed < sentAt;
        const bool missing =
            run.phase == Phase::Confirmed && run.since < sentAt && !run.stopRequested;
        if (!listing.complete || present.count(entry->first) != 0 || (!stopped && !missing)) {
            ++entry;
            continue;
        }
        if (stopped)
            addAbsent(entry->first, "a stop was confirmed before it ran");
        m_snapshotDue = true;
        m_unreportedChanges = true;
        entry = m_runs.erase(entry);
    }
}

void RunLedger::updateHeadroom(BootTime now)
{
    BestEffortShares shares;
    const auto capacity = static_cast<double>(m_facts.capacity.milliCores());
    for (const auto &[run, local] : m_runs) {
        if (local.bestEffort && local.listed && capacity > 0)
            shares[local.image] += local.load / capacity;
    }
    for (auto &[run, local] : m_runs) {
        if (local.tailTargetMs > 0 && local.listed && local.load > 0)
            m_tailModel.observe(local.image, local.headroom, shares,
                                static_cast<double>(local.tailTargetMs) / local.load, now);
    }
}

void RunLedger::renewalSent(const Lease &lease)
{
    m_sentLease = lease;
    m_leaseEnd = std::max(m_leaseEnd, latestLeaseEnd(m_clockAt, lease.until));
}

std::vector<RunKey> RunLedger::renewalFailed(BootTime now, bool refusesConnections)
{
    m_unreportedChanges = m_unreportedChanges || m_reachable;
    m_reachable = false;
    std::vector<RunKey> lapsed;
    const bool left = m_deregistered && refusesConnections;
    if (!left && now <= m_leaseEnd)
        return lapsed;
    for (const auto &[run, local] : m_runs) {
        addAbsent(run, left ? "the minion left" : "the minion is silent and its lease has lapsed");
        lapsed.push_back(run);
    }
    m_runs.clear();
    return lapsed;
}

void RunLedger::startConfirmed(const RunKey &run, BootTime now)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end() || found->second.phase == Phase::Confirmed)
        return;
    found->second.phase = Phase::Confirmed;
    found->second.reported = false;
    found->second.since = now;
}

void RunLedger::startRefused(const RunKey &run, const std::string &reason)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end() || found->second.phase == Phase::Confirmed)
        return;
    m_runs.erase(found);
    addAbsent(run, reason);
}

void RunLedger::stopConfirmed(const RunKey &run, BootTime now)
{
    // Only the first answer counts: a listing requested after it shows whether the run has ended.
    if (const auto found = m_runs.find(run); found != m_runs.end() && !found->second.stopConfirmed)
        found->second.stopConfirmed = now;
}

void RunLedger::setPace(const RunKey &run, int percent)
{
    if (const auto found = m_runs.find(run); found != m_runs.end())
        found->second.pacePercent = percent;
}

std::optional<RunLedger::Lease> RunLedger::lease(BootTime now) const
{
    if (now >= m_grantUntil || m_clockAt == BootTime{})
        return std::nullopt;
    if (!m_reachable && m_sentLease.untilMinionMs > 0)
        return m_sentLease;
    return Lease{m_grantUntil, m_clockMs + (m_grantUntil - m_clockAt).count()};
}

bool RunLedger::shouldRun(const RunKey &run) const
{
    const auto found = m_runs.find(run);
    return found != m_runs.end() && !found->second.stopRequested;
}

BootTime RunLedger::startBy(const RunKey &run) const
{
    const auto found = m_runs.find(run);
    return found != m_runs.end() ? found->second.startBy : BootTime::max();
}

ExchangeRequest RunLedger::beginMessage(std::int64_t waitMs)
{
    ExchangeRequest request;
    request.agent = m_agent;
    request.session = m_session;
    request.number = m_nextMessage++;
    request.epoch = m_epoch;
    request.reachable = m_reachable;
    request.orderSeen = m_orderSeen;
    request.waitMs = waitMs;
    m_unreportedChanges = false;
    return request;
}

void RunLedger::appendEnds(ExchangeRequest &request) const
{
    const auto append = [&](const auto &ends) {
        for (const auto &[key, unconfirmed] : ends) {
            if (!request.brief || unconfirmed.knownWith != request.snapshot)
                request.ends.push_back(unconfirmed.end);
        }
    };
    append(m_ends);
    append(m_absent);
}

void RunLedger::appendReport(ExchangeRequest &request, const RunKey &run, LocalRun &local)
{
    const int load = static_cast<int>(local.load);
    request.runs.push_back({run, local.progressPercent, local.pacePercent, local.checkpoint,
                            local.phase == Phase::Starting, load, !local.described});
    local.reported = true;
}

ExchangeRequest RunLedger::nextMessage(std::int64_t waitMs, BootTime now)
{
    if (!m_ownerHasSnapshot || m_snapshotDue || m_listedEpoch != m_epoch || now >= m_nextSnapshot) {
        const bool serving = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &entry) {
            return entry.second.tailTargetMs > 0;
        });
        m_nextSnapshot = now + (serving ? servingSnapshotInterval : snapshotInterval);
        return snapshot(waitMs);
    }
    ExchangeRequest request = beginMessage(waitMs);
    request.brief = true;
    request.incarnation = m_facts.incarnation;
    request.snapshot = m_snapshotNumber;
    appendEnds(request);
    for (auto &[run, local] : m_runs) {
        if (!local.reported)
            appendReport(request, run, local);
    }
    return request;
}

ExchangeRequest RunLedger::snapshot(std::int64_t waitMs)
{
    ExchangeRequest request = beginMessage(waitMs);
    request.registered = m_registered;
    request.listed = m_listedEpoch == m_epoch;
    request.facts = m_facts;
    appendEnds(request);
    for (auto &[run, local] : m_runs)
        appendReport(request, run, local);
    m_snapshotNumber = request.number;
    m_snapshotDue = false;
    return request;
}

void RunLedger::exchangeFailed()
{
    m_ownerHasSnapshot = false;
}

} // namespace lavenderarch
