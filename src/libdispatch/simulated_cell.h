// Simulation of a whole cell under seeded faults: owners, agents and minions, without sockets,
// threads or real clocks.
#pragma once

#include "capacity_check.h"
#include "cell_faults.h"
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/ownership_watch.h"
#include "lavenderarch/dispatch/queue_catalog.h"
#include "phase_check.h"
#include "simulated_agent.h"
#include "simulated_calls.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>

namespace lavenderarch::testing {

/// Advances in steps of 20 ms. Checks the invariants of placement and stored state as runs start,
/// steps end and commits are stored.
class SimulatedCell
{
public:
    static constexpr Milliseconds stepTime{20};
    static constexpr Milliseconds leaseTime{5000};

    SimulatedCell(std::uint64_t seed, int minions, CellFaults faults)
        : m_random(seed)
        , m_faults(faults)
        , m_now(Milliseconds(1'000'000))
    {
        auto catalog = std::make_shared<QueueCatalog>();
        catalog->version = 1;
        catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
        catalog->services.insert("svc");
        m_catalog = catalog;
        for (int index = 0; index < minions; ++index)
            addMinion(index);
        takeOver();
    }

    void submit(JobSpec job)
    {
        job.service = "svc";
        job.queue = "q";
        job.acceptedMs = m_now.time_since_epoch().count();
        m_specs[job.id] = job;
        apply({cells::jobWrite("svc", job), cells::queuedWrite("svc", job)});
        hear(cells::jobKey("svc", job.id));
    }

    void cancel(const std::string &id)
    {
        if (!m_cancelledAt.try_emplace(id, m_now).second)
            return;
        apply({{cells::cancelKey("svc", id), "{}", false}});
        hear(cells::cancelKey("svc", id));
    }

    void advance(Milliseconds duration)
    {
        for (const BootTime end = m_now + duration; m_now < end; m_now += stepTime)
            advanceStep();
    }
    /// Crashes the minion permanently; after 4.5 s its agent ends too.
    void crashPermanently(std::size_t index)
    {
        Agent &agent = *m_agents.at(index);
        agent.minion.crash();
        agent.restartAt = m_now + Milliseconds(1'000'000);
        agent.endsAt = m_now + Milliseconds(4500);
    }
    void setFaults(CellFaults faults) { m_faults = faults; }
    /// Gives each minion one of the kinds of minionKinds. To be called before the first step.
    void mixKinds()
    {
        for (std::size_t index = 0; index < m_agents.size(); ++index)
            minion(index).facts.capacity = minionKinds[index % minionKinds.size()];
    }
    const CapacityCheck &capacityCheck() const { return m_capacityCheck; }

    JobPhase phase(const std::string &id) const
    {
        const auto owned = m_rows.find(cells::stateKey("svc", id));
        const Row &row =
            owned != m_rows.end() ? owned->second : m_rows.at(cells::queuedKey("svc", id));
        return Json::parse(row.value).at("phase").get<JobPhase>();
    }
    std::size_t activeRuns() const
    {
        std::size_t count = 0;
        for (const auto &agent : m_agents)
            count += agent->minion.active().size();
        return count;
    }
    CellDispatcher &owner() { return *m_owner; }
    BootTime now() const { return m_now; }
    SimulatedMinion &minion(std::size_t index) { return m_agents.at(index)->minion; }
    int starts() const { return m_starts; }
    /// Starts that agents have refused for want of room.
    int refusedStarts() const { return m_refusedStarts; }
    /// Agents guard the capacity of their minions.
    bool guardStarts = true;
    /// Names of tasks of which each run fails.
    std::set<std::string> failingTasks;
    /// Prints the owner's decisions and the events of runs and faults.
    bool trace = std::getenv("LAVENDER_TRACE") != nullptr;

private:
    using Agent = SimulatedAgent;

    bool chance(int oneIn) { return oneIn > 0 && m_random() % static_cast<unsigned>(oneIn) == 0; }
    Milliseconds randomDuration(int minMs, int maxMs)
    {
        return Milliseconds(
            minMs + static_cast<int>(m_random() % static_cast<unsigned>(maxMs - minMs + 1)));
    }

    void addMinion(int index)
    {
        auto agent = std::make_unique<Agent>();
        agent->name = "agent-" + std::to_string(index);
        SimulatedMinion &minion = agent->minion;
        minion.facts.service = "svc";
        minion.facts.dataCentre = index % 2 == 0 ? "dc-a" : "dc-b";
        minion.facts.labels = {"a", "r" + std::to_string(index / 3)};
        minion.facts.capacity = Resources(4000, 8000, 0);
        minion.begin("m" + std::to_string(index), m_now);
        Agent *self = agent.get();
        minion.onStart = [this, self](const RunKey &run) { checkStart(*self, run); };
        minion.stopTime = [this] {
            return chance(m_faults.slowStop) ? randomDuration(200, 900) : Milliseconds(0);
        };
        minion.onEnd = [this](const RunKey &run, RunOutcome outcome) {
            traceRun("minion ends", run);
            m_running.erase(run);
            if (outcome == RunOutcome::Done)
                m_phaseCheck.recordDone(run.task);
        };
        minion.onEndAcknowledged = [this](const RunKey &run, RunOutcome outcome) {
            if (outcome == RunOutcome::Done)
                m_acknowledgedDone.insert(run.task);
            if (outcome == RunOutcome::Failed)
                ++m_acknowledgedFailures[run.task];
        };
        agent->beginSession(0, m_now);
        m_agents.push_back(std::move(agent));
    }

    void apply(const std::vector<RowWrite> &writes)
    {
        for (const RowWrite &write : writes) {
            if (write.remove)
                m_rows.erase(write.key);
            else
                m_rows[write.key] = {write.key, write.value, ++m_version, false};
        }
    }

    void takeOver()
    {
        DispatchLimits limits;
        limits.leaseMs = leaseTime.count(); // 0.9 of SimulatedMinion::longestLeaseMs
        limits.cancelMs = 3000;
        limits.evacuateMs = 5000;
        m_owner = std::make_unique<CellDispatcher>("svc", limits, ++m_epoch);
        std::vector<Row> jobs;
        std::vector<Row> progress;
        for (const auto &[key, row] : m_rows) {
            if (key.table == cells::jobTable)
                jobs.push_back(row);
            if (key.table == cells::progressTable)
                progress.push_back(row);
        }
        m_owner->load(jobs, progress, m_now);
        m_owner->setCatalog(m_catalog);
        m_commitAt = {};
        m_unheard.clear();
        hearInputs();
    }

    /// The owner applies the changed row, at once or once its view of the inbox is current.
    void hear(const RowKey &key)
    {
        m_unheard.push_back(key);
        if (m_owner && m_now >= m_inboxStaleUntil)
            hearInputs();
    }

    void hearInputs()
    {
        if (!m_unheard.empty() && chance(m_faults.lostHistory)) {
            m_unheard.clear();
            for (const auto &[key, row] : m_rows) {
                if (key.table == cells::jobTable)
                    m_unheard.push_back(key);
            }
        }
        for (const RowKey &key : std::exchange(m_unheard, {})) {
            if (const auto row = m_rows.find(key); row != m_rows.end())
                m_owner->applyJobRow(row->second, m_now);
        }
        m_owner->setInboxTime(m_now);
    }

    void advanceStep()
    {
        injectFaults();
        m_calls.advance(m_now);
        for (const auto &agent : m_agents)
            advanceAgent(*agent);
        advanceOwner();
    }

    void injectFaults()
    {
        if (m_owner && chance(m_faults.ownerCrash)) {
            traceRun("owner crashes", {});
            m_owner.reset();
            m_takeOverAt = m_now + ownerTakeoverTimeout;
        }
        if (!m_owner && m_now >= m_takeOverAt)
            takeOver();
        for (const auto &agent : m_agents) {
            if (chance(m_faults.agentRestart)) {
                agent->beginSession(++m_sessions, m_now);
                agent->nextCheckIn = m_now + randomDuration(100, 1100);
                traceRun("agent restarts", {agent->name, 0});
            }
            if (chance(m_faults.silentMinion))
                agent->silentUntil = m_now + randomDuration(300, 3000);
            if (chance(m_faults.agentPartition))
                agent->partitionedUntil = m_now + randomDuration(3000, 12'000);
            if (chance(m_faults.lostCheckIns))
                agent->checkInsLostUntil = m_now + randomDuration(3000, 20'000);
            if (agent->minion.up && chance(m_faults.minionCrash)) {
                traceRun("minion crashes", {agent->name, 0});
                agent->minion.crash();
                agent->restartAt = m_now + randomDuration(500, 9000);
            }
            if (!agent->minion.up && m_now >= agent->restartAt) {
                agent->minion.begin(agent->minion.facts.incarnation.id, m_now);
                if (chance(m_faults.otherKind))
                    agent->minion.facts.capacity = minionKinds[m_random() % minionKinds.size()];
                agent->sequence = 0;
                agent->mayBeFenced = false;
                agent->nextCheckIn = m_now + randomDuration(0, 1100);
            }
        }
        if (m_now >= m_inboxStaleUntil && chance(m_faults.lateInbox))
            m_inboxStaleUntil = m_now + randomDuration(1000, 4000);
        if (chance(m_faults.cancel) && !m_specs.empty()) {
            auto job = m_specs.begin();
            std::advance(job, static_cast<std::ptrdiff_t>(m_random() % m_specs.size()));
            cancel(job->first);
        }
    }

    void advanceAgent(Agent &agent)
    {
        agent.minion.advance(m_now);
        if (agent.endsAt && *agent.endsAt <= m_now)
            return;
        if (agent.minion.up && agent.nextCheckIn <= m_now) {
            agent.nextCheckIn = m_now + Milliseconds(1100);
            ++agent.sequence;
            if (agent.checkInsLostUntil <= m_now)
                agent.ledger->updateFacts(agent.minion.facts, agent.sequence);
        }
        if (agent.lateReply && agent.lateReply->at <= m_now) {
            applyReply(agent, *agent.lateReply);
            agent.lateReply.reset();
        }
        if (m_owner && !agent.lateReply && agent.partitionedUntil <= m_now &&
            (agent.nextPoll <= m_now || agent.ledger->hasUnreportedChanges() ||
             m_owner->hasOrders(agent.name))) {
            agent.nextPoll = m_now + Milliseconds(900);
            exchange(agent);
        }
        // executeOrder() puts back orders that cannot be executed yet, for the next step.
        for (const RunOrder &order : std::exchange(agent.orders, {}))
            executeOrder(agent, order);
        if (agent.nextRenewal > m_now)
            return;
        agent.nextRenewal = m_now + Milliseconds(100);
        m_calls.renew(agent, m_now);
    }

    void applyReply(Agent &agent, const LateReply &late)
    {
        agent.ledger->recordDelivery(late.request);
        for (RunOrder &order : agent.ledger->applyReply(late.reply, late.sentAt, m_now))
            agent.orders.push_back(std::move(order));
    }

    void exchange(Agent &agent)
    {
        const auto sendMessage = [&](const ExchangeRequest &request) {
            const bool lost = chance(m_faults.lostMessage);
            if (!lost || chance(2))
                m_owner->handleRequest(request, m_now, true);
            if (lost) {
                agent.ledger->exchangeFailed();
                return;
            }
            LateReply late{m_now, m_now, request, m_owner->reply(request, m_now, true)};
            if (chance(m_faults.lateReply)) {
                late.at += randomDuration(1000, 6000);
                agent.lateReply = std::move(late);
            } else {
                applyReply(agent, late);
            }
        };
        const ExchangeRequest request = agent.ledger->nextMessage(900, m_now);
        if (chance(m_faults.lateMessage))
            sendMessage(agent.ledger->nextMessage(0, m_now));
        sendMessage(request);
    }

    /// Asks the agent's guard. Unless the next incarnation may be of another kind, a start is sent
    /// to a minion that does not answer all the same, as by an agent that has not noticed yet.
    bool mayStart(Agent &agent, const RunOrder &order)
    {
        const StartDecision decision = agent.ledger->decideStart(order.run);
        if (decision.verdict == StartDecision::Verdict::Wait && m_faults.otherKind > 0) {
            agent.orders.push_back(order);
            return false;
        }
        if (decision.verdict != StartDecision::Verdict::Refuse)
            return true;
        ++m_refusedStarts;
        traceRun(("agent " + agent.name + " refuses").c_str(), order.run);
        agent.ledger->startRefused(order.run, decision.reason);
        return false;
    }

    void executeOrder(Agent &agent, const RunOrder &order)
    {
        const std::int64_t fence =
            fencingToken(agent.ledger->facts().incarnation, agent.ledger->epoch());
        if (order.kind == OrderKind::Stop) {
            if (agent.ledger->runs().count(order.run) == 0)
                return;
            const auto stop = [&agent, run = order.run, fence](BootTime) {
                return agent.minion.stop(run, fence);
            };
            if (m_calls.order(agent, SimulatedCalls::Reach::Id, stop, m_now) ==
                OrderAnswer::Accepted)
                agent.ledger->stopConfirmed(order.run, m_now);
            else
                agent.orders.push_back(order);
            if (!agent.minion.up)
                agent.orders.clear();
            return;
        }
        const auto lease = agent.ledger->lease(m_now);
        if (!agent.ledger->shouldRun(order.run))
            return;
        if (agent.awaitsAnswer(order.run, m_now))
            return agent.orders.push_back(order);
        if (!lease || m_now >= agent.ledger->startBy(order.run)) {
            SimulatedCalls::abandonStart(agent, order, "no lease or too late");
            return;
        }
        if (guardStarts && !mayStart(agent, order))
            return;
        agent.ledger->renewalSent(*lease);
        const auto start = [this, &agent, order, fence, until = lease->untilMinionMs](BootTime) {
            return startAt(agent, order, fence, until);
        };
        using Reach = SimulatedCalls::Reach;
        if (chance(m_faults.delayedOrder)) {
            m_calls.addLate(agent, Reach::Incarnation, start, m_now + randomDuration(200, 9000));
            return; // without an answer to the start, the ledger keeps the run as starting
        }
        const OrderAnswer answer = m_calls.order(agent, Reach::Known, start, m_now);
        if (answer == OrderAnswer::Accepted || answer == OrderAnswer::Ended) {
            agent.ledger->startConfirmed(order.run, m_now);
        } else if (answer == OrderAnswer::Unknown) {
            agent.unansweredStarts.insert(order.run);
            agent.orders.push_back(order); // retried, possibly on the next incarnation
        } else {
            SimulatedCalls::abandonStart(agent, order, std::string(answerName(answer)));
        }
    }

    OrderAnswer startAt(Agent &agent, const RunOrder &order, std::int64_t fence,
                        std::int64_t untilMs)
    {
        const bool fails = failingTasks.count(order.run.task) != 0;
        const auto name = TaskName::parse(order.run.task);
        const bool longRunning =
            m_specs.at(name->job).steps[static_cast<std::size_t>(name->step)].longRunning;
        return agent.minion.start(order.run, fence, untilMs,
                                  longRunning ? Milliseconds(1'000'000) : randomDuration(200, 2500),
                                  fails ? RunOutcome::Failed : RunOutcome::Done, m_now);
    }

    void advanceOwner()
    {
        if (!m_owner)
            return;
        if (m_now >= m_inboxStaleUntil)
            hearInputs();
        m_owner->setEvacuationsTime(m_now);
        m_owner->tick(m_now, m_now.time_since_epoch().count());
        if (m_commitAt != BootTime{} && m_commitAt <= m_now) {
            m_commitAt = {};
            m_owner->commitApplied(m_now);
        }
        if (const auto commit = m_owner->prepareCommit(m_now, m_owner->canStartInTime(m_now))) {
            // A commit whose answer is lost is stored, but the owner learns of it only later.
            apply(commit->writes);
            apply(commit->inboxWrites);
            m_commitAt =
                m_now + (chance(m_faults.lostCommit) ? randomDuration(100, 1500) : stepTime);
            m_phaseCheck.checkStored(*commit);
        }
        for (const auto &event : m_owner->takeEvents()) {
            if (!trace)
                continue;
            std::string line =
                std::to_string(m_now.time_since_epoch().count()) + " " + event.message;
            for (const auto &[name, value] : event.fields)
                line.append(" ").append(name).append("=").append(value);
            std::cerr << line << "\n";
        }
    }

    // Invariants.

    void traceRun(const char *what, const RunKey &run) const
    {
        if (trace)
            std::cerr << m_now.time_since_epoch().count() << " " << what << " " << run.task
                      << " run=" << run.number << "\n";
    }

    void checkStart(Agent &agent, const RunKey &run)
    {
        ++m_starts;
        traceRun("minion starts", run);
        const auto name = TaskName::parse(run.task);
        REQUIRE(name);
        m_phaseCheck.recordStart(name->job);
        const JobSpec &spec = m_specs.at(name->job);
        m_capacityCheck.checkStart(agent.name, agent.minion, run);
        for (const RunKey &other : m_running)
            CHECK_MESSAGE(other.task != run.task, "task runs on two minions at once: ", run.task);
        m_running.insert(run);
        CHECK_MESSAGE(m_acknowledgedDone.count(run.task) == 0,
                      "task started after its end was confirmed: ", run.task);
        CHECK_MESSAGE(m_acknowledgedFailures[run.task] < spec.attempts,
                      "task started more often than its attempts allow: ", run.task);
        const auto &step = spec.steps[static_cast<std::size_t>(name->step)];
        for (const int before : step.after) {
            for (int index = 0; index < spec.steps[static_cast<std::size_t>(before)].count; ++index)
                CHECK_MESSAGE(
                    m_phaseCheck.isDone(TaskName{name->job, name->occurrence, before, index}),
                    "task started before an earlier step was done: ", run.task);
        }
        const auto cancelled = m_cancelledAt.find(name->job);
        if (cancelled != m_cancelledAt.end() && agent.partitionedUntil <= m_now && m_owner &&
            m_faults.delayedOrder == 0 && m_faults.ownerCrash == 0 && !m_calls.carryingOutLate())
            CHECK_MESSAGE(m_now - cancelled->second < Milliseconds(3000),
                          "task started after its job was cancelled: ", run.task);
    }

    RandomEngine m_random;
    CellFaults m_faults;
    SimulatedCalls m_calls{m_random, m_faults};
    BootTime m_now;
    std::shared_ptr<const QueueCatalog> m_catalog;
    std::map<RowKey, Row> m_rows;
    std::int64_t m_version = 0;
    std::int64_t m_epoch = 0;
    int m_sessions = 0;
    int m_starts = 0;
    int m_refusedStarts = 0;
    std::unique_ptr<CellDispatcher> m_owner;
    BootTime m_takeOverAt{};
    BootTime m_commitAt{};         // when the owner learns that its commit is stored
    std::vector<RowKey> m_unheard; // changed inbox rows that the owner has not applied
    BootTime m_inboxStaleUntil{};  // when the owner's view of the inbox is current again
    std::vector<std::unique_ptr<Agent>> m_agents;
    std::map<std::string, JobSpec> m_specs;
    CapacityCheck m_capacityCheck{m_specs};
    PhaseCheck m_phaseCheck{m_specs};
    std::map<std::string, BootTime> m_cancelledAt;
    std::set<RunKey> m_running;
    std::set<std::string> m_acknowledgedDone;
    std::map<std::string, int> m_acknowledgedFailures;
};

} // namespace lavenderarch::testing
