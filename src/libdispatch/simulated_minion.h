// A simulated minion for tests: runs tasks under leases and may crash. It answers as the platform's
// page on running tasks says.
#pragma once

#include "lavenderarch/core/random.h"
#include "lavenderarch/dispatch/minion_answer.h"
#include "lavenderarch/dispatch/minion_facts.h"
#include "lavenderarch/dispatch/minion_listing.h"
#include "lavenderarch/dispatch/run_ledger.h"

#include <algorithm>
#include <functional>

namespace lavenderarch::testing {

/// Times are simulation times. The minion's own clock starts at 0 with each incarnation and runs up
/// to 2 % slow. Calls name the minion by its id only, so they are carried out by any incarnation.
class SimulatedMinion
{
public:
    /// Longest lease, on the minion's clock; longer ones are shortened to it.
    static constexpr std::int64_t longestLeaseMs = 5556;

    struct Active
    {
        int run = 0;
        BootTime endsAt{};
        RunOutcome outcome = RunOutcome::Done;
        bool stopping = false; ///< stopped, but the end is not listed yet
    };
    /// Called when a run starts or ends on the minion.
    std::function<void(const RunKey &)> onStart;
    std::function<void(const RunKey &, RunOutcome)> onEnd;
    /// Called when the owner has confirmed an end that happened under a valid lease.
    std::function<void(const RunKey &, RunOutcome)> onEndAcknowledged;
    /// Time that a stop takes, during which the run keeps its room; unset: none.
    std::function<Milliseconds()> stopTime;

    MinionFacts facts;
    bool up = true;
    std::size_t endsPerListing = 500;

    /// Starts a new incarnation.
    void begin(const std::string &id, BootTime now)
    {
        facts.incarnation = {id, now.time_since_epoch().count()};
        m_startedAt = now;
        m_slowPercent = now.time_since_epoch().count() / 20 % 3;
        m_active.clear();
        m_ends.clear();
        m_highestRun.clear();
        m_nextEnd = 1;
        m_lapsedEnds = 0;
        m_fence = 0;
        m_leaseUntilMs = 0;
        up = true;
    }

    std::int64_t clockMs(BootTime now) const
    {
        return (now - m_startedAt).count() * (100 - m_slowPercent) / 100;
    }
    /// End of the newest lease, on the minion's clock.
    std::int64_t leaseUntilMs() const { return m_leaseUntilMs; }
    const std::map<std::string, Active> &active() const { return m_active; }

    /// Ends the runs that are due, and all runs if the lease has lapsed.
    void advance(BootTime now)
    {
        m_now = now;
        if (!up)
            return;
        // An end counts as acknowledged only if the lease has been valid ever since.
        const bool lapsed = m_leaseUntilMs <= clockMs(now);
        if (lapsed)
            m_lapsedEnds = m_nextEnd;
        std::vector<std::pair<std::string, RunOutcome>> ended;
        for (const auto &[task, run] : m_active) {
            if (run.endsAt <= now)
                ended.emplace_back(task, run.outcome);
            else if (lapsed)
                ended.emplace_back(task, RunOutcome::Lapsed);
        }
        for (const auto &[task, outcome] : ended)
            end(task, outcome);
    }

    void crash()
    {
        up = false;
        for (const auto &[task, run] : m_active)
            onEnd({task, run.run}, RunOutcome::Lapsed);
        m_active.clear();
    }

    OrderAnswer start(const RunKey &run, std::int64_t fence, std::int64_t untilMs,
                      Milliseconds length, RunOutcome outcome, BootTime now)
    {
        if (!up)
            return OrderAnswer::Unknown;
        if (fence < m_fence)
            return OrderAnswer::Fenced;
        m_fence = fence;
        if (untilMs <= clockMs(now))
            return OrderAnswer::Refused; // late
        extend(untilMs, now);
        const auto known = m_active.find(run.task);
        if (known != m_active.end() && known->second.run == run.number)
            return OrderAnswer::Accepted;
        if (known != m_active.end() || m_highestRun[run.task] >= run.number)
            return OrderAnswer::Ended;
        m_active[run.task] = {run.number, now + length, outcome};
        onStart(run);
        return OrderAnswer::Accepted;
    }

    OrderAnswer stop(const RunKey &run, std::int64_t fence)
    {
        if (!up)
            return OrderAnswer::Unknown;
        if (fence < m_fence)
            return OrderAnswer::Fenced;
        m_fence = fence;
        const auto known = m_active.find(run.task);
        if (known != m_active.end() && known->second.run <= run.number)
            beginStop(run.task, known->second);
        m_highestRun[run.task] = std::max(m_highestRun[run.task], run.number);
        return OrderAnswer::Accepted;
    }

    std::optional<MinionListing> renew(std::optional<RunLedger::Lease> lease, std::int64_t fence,
                                       std::int64_t endsSeen, BootTime now)
    {
        if (!up || fence < m_fence)
            return std::nullopt;
        m_fence = fence;
        if (lease)
            extend(lease->untilMinionMs, now);
        while (!m_ends.empty() && m_ends.front().number <= endsSeen) {
            if (m_ends.front().number >= m_lapsedEnds)
                onEndAcknowledged(m_ends.front().run, m_ends.front().outcome);
            m_ends.erase(m_ends.begin());
        }
        MinionListing listing;
        listing.clockMs = clockMs(now);
        listing.bornMs = facts.incarnation.bornMs;
        for (const auto &[task, run] : m_active)
            listing.active.push_back({{task, run.run}, "", 50, 0});
        listing.complete = m_ends.size() < endsPerListing;
        listing.ends.assign(m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                                 m_ends.size(), endsPerListing)));
        return listing;
    }

private:
    void extend(std::int64_t untilMs, BootTime now)
    {
        m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs(now) + longestLeaseMs));
    }

    void beginStop(const std::string &task, Active &run)
    {
        const Milliseconds time = stopTime ? stopTime() : Milliseconds(0);
        if (time == Milliseconds(0)) {
            end(task, RunOutcome::Stopped);
        } else if (!std::exchange(run.stopping, true)) {
            run.endsAt = m_now + time;
            run.outcome = RunOutcome::Stopped;
        }
    }

    void end(const std::string &task, RunOutcome outcome)
    {
        const RunKey run{task, m_active.at(task).run};
        m_active.erase(task);
        m_highestRun[task] = std::max(m_highestRun[task], run.number);
        m_ends.push_back({m_nextEnd++, run, outcome, "", ""});
        onEnd(run, outcome);
    }

    BootTime m_now{};
    BootTime m_startedAt{};
    std::int64_t m_slowPercent = 0; // by which the clock runs slow
    std::int64_t m_leaseUntilMs = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_nextEnd = 1;
    std::int64_t m_lapsedEnds = 0;           // the lease has lapsed after all ends below this
    std::map<std::string, Active> m_active;  // by task
    std::map<std::string, int> m_highestRun; // highest ended or stopped run, by task
    std::vector<RunEnd> m_ends;              // not yet acknowledged
};

} // namespace lavenderarch::testing
