// A cell's owner under load, for tests and benchmarks that count its work. Minions report without
// agents in between, and commits are stored at once.
#pragma once

#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/queue_catalog.h"

#include <algorithm>
#include <memory>

namespace lavenderarch::testing {

/// Not thread-safe. Time passes only in advance().
class LoadedCell
{
public:
    /// Minions have 16 processors each.
    explicit LoadedCell(int minions)
        : m_owner("svc", DispatchLimits{}, 1)
    {
        auto catalog = std::make_shared<QueueCatalog>();
        catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
        catalog->services.insert("svc");
        m_owner.setCatalog(catalog);
        m_minions.resize(static_cast<std::size_t>(minions));
        for (std::size_t index = 0; index < m_minions.size(); ++index) {
            MinionFacts &facts = m_minions[index].facts;
            facts.incarnation = {"minion-" + std::to_string(index), 1};
            facts.service = "svc";
            facts.dataCentre = "dc-" + std::to_string(index % 6);
            facts.labels = {"a", "rack-" + std::to_string(index / 4)};
            facts.capacity = Resources(16'000, 64'000, 0);
            report(index);
        }
    }

    /// Submits a job of `count` equal tasks. A negative `tailTargetMs` makes them best-effort.
    void submit(int count, Resources demand, int tailTargetMs = 0, int image = 0)
    {
        StepSpec step;
        step.count = count;
        step.demand = demand;
        step.estimateMs = 600;
        step.longRunning = tailTargetMs > 0;
        step.tailTargetMs = std::max(tailTargetMs, 0);
        step.bestEffort = tailTargetMs < 0;
        if (tailTargetMs != 0)
            step.image = (step.bestEffort ? "image-fill-" : "image-serve-") + std::to_string(image);
        submit(step);
    }

    /// Submits a job of one step.
    void submit(const StepSpec &step)
    {
        submit(std::vector<StepSpec>{step}, step.bestEffort ? 2 : 0);
    }

    /// Submits a job and returns its id. Jobs of a lower `priority` value are placed first.
    std::string submit(std::vector<StepSpec> steps, int priority)
    {
        JobSpec job;
        job.id = "job-" + std::to_string(m_jobs++);
        job.service = "svc";
        job.queue = "q";
        job.priority = priority;
        job.acceptedMs = m_now.time_since_epoch().count();
        job.steps = std::move(steps);
        m_owner.applyJobRow({cells::jobKey("svc", job.id), Json(job).dump(), 1, false}, m_now);
        return job.id;
    }

    /// Stores the cancellation of a job.
    void cancel(const std::string &job)
    {
        m_owner.applyJobRow({cells::cancelKey("svc", job), "{}", 2, false}, m_now);
    }

    /// Places tasks and stores the changes, until there are none.
    void settle()
    {
        while (m_owner.prepareCommit(m_now))
            m_owner.commitApplied(m_now);
        for (const auto &[agent, view] : m_owner.minions()) {
            for (const auto &[run, serving] : view.serving)
                m_minions[indexOf(agent)].serving.insert(run);
        }
        m_owner.takeEvents();
    }

    /// Lets the minion report all its runs. Serving tasks have a tail latency of `tailMs`; the
    /// others have done `percent` of their work.
    void report(std::size_t index, std::vector<RunEnd> ends = {}, int tailMs = 2, int percent = 50)
    {
        Minion &minion = m_minions[index];
        ExchangeRequest request;
        request.agent = agentOf(index);
        request.session = "s";
        request.number = ++minion.messages;
        request.epoch = 1;
        request.registered = true;
        request.listed = true;
        request.reachable = true;
        request.facts = minion.facts;
        request.ends = std::move(ends);
        if (const auto view = m_owner.minions().find(request.agent);
            view != m_owner.minions().end()) {
            for (const RunKey &run : view->second.runs) {
                if (std::any_of(request.ends.begin(), request.ends.end(),
                                [&](const RunEnd &end) { return end.run == run; }))
                    continue;
                RunReport &runReport = request.runs.emplace_back();
                runReport.run = run;
                runReport.progressPercent = minion.serving.count(run) != 0 ? 100 : percent;
                runReport.load = minion.serving.count(run) != 0 ? tailMs : 500;
            }
            request.orderSeen = view->second.nextOrder - 1;
        }
        m_owner.handleRequest(request, m_now, true);
        m_owner.reply(request.agent, m_now, true);
    }

    /// The active run of that number, in the order of minions and modulo their count, among those
    /// that are not serving tasks; an empty key if there is none.
    std::pair<std::size_t, RunKey> activeRun(std::size_t number) const
    {
        std::vector<std::pair<std::size_t, RunKey>> active;
        for (const auto &[agent, view] : m_owner.minions()) {
            for (const RunKey &run : view.runs) {
                if (view.serving.count(run) == 0)
                    active.emplace_back(indexOf(agent), run);
            }
        }
        return active.empty() ? std::pair<std::size_t, RunKey>{} : active[number % active.size()];
    }
    /// Ends a run, which its minion reports.
    void endRun(const std::pair<std::size_t, RunKey> &active, RunOutcome outcome = RunOutcome::Done)
    {
        const auto &[index, run] = active;
        report(index, {{++m_minions[index].ends, run, outcome, "", ""}});
    }
    /// Ends all runs of a job.
    void endRuns(const std::string &job, RunOutcome outcome = RunOutcome::Done)
    {
        std::vector<std::pair<std::size_t, RunKey>> runs;
        for (const auto &[agent, view] : m_owner.minions()) {
            for (const RunKey &run : view.runs) {
                if (TaskName::parse(run.task)->job == job)
                    runs.emplace_back(indexOf(agent), run);
            }
        }
        for (const auto &run : runs)
            endRun(run, outcome);
    }

    void advance(Milliseconds duration) { m_now += duration; }
    void tick() { m_owner.tick(m_now, m_now.time_since_epoch().count()); }
    BootTime now() const { return m_now; }
    CellDispatcher &owner() { return m_owner; }
    const CellDispatcher &owner() const { return m_owner; }
    std::size_t activeRuns() const
    {
        std::size_t count = 0;
        for (const auto &[agent, view] : m_owner.minions())
            count += view.runs.size();
        return count;
    }
    MinionFacts &facts(std::size_t index) { return m_minions[index].facts; }

private:
    struct Minion
    {
        MinionFacts facts;
        std::int64_t messages = 0;
        std::int64_t ends = 0;
        std::set<RunKey> serving;
    };

    static std::string agentOf(std::size_t index) { return "agent-" + std::to_string(index); }
    static std::size_t indexOf(const std::string &agent) { return std::stoul(agent.substr(6)); }

    CellDispatcher m_owner;
    BootTime m_now{Milliseconds(1'000'000)};
    std::vector<Minion> m_minions;
    int m_jobs = 0;
};

} // namespace lavenderarch::testing
