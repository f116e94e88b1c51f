// Tests of the planned handover of a cell from its owner to another process.
#include "lavenderarch/runtime/cell_host.h"
#include "memory_rows.h"
#include "plain_job.h"
#include "waits.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::deadlineIn;
using lavenderarch::testing::eventually;
using lavenderarch::testing::job;
using lavenderarch::testing::MemoryRows;

namespace {

using Host = CellHost<MemoryRows>;

void submit(MemoryRows &store, const std::string &id)
{
    RowTransaction change;
    change.writes.push_back(cells::jobWrite("svc", job(id)));
    REQUIRE(store.commit(change, deadlineIn(2000)).ok());
}

std::shared_ptr<const QueueCatalog> catalog()
{
    auto catalog = std::make_shared<QueueCatalog>();
    catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
    catalog->services.insert("svc");
    return catalog;
}

OwnerRecord ownerRecord(MemoryRows &store)
{
    const auto row = store.readOne(cells::ownerRowKey("svc"), deadlineIn(1000));
    return row->version == 0 ? OwnerRecord{} : *parseAs<OwnerRecord>(row->value, "owner row");
}

bool isPlaced(MemoryRows &store, const std::string &id)
{
    const auto row = store.readOne(cells::progressKey("svc", id), deadlineIn(1000));
    return row->version != 0;
}

/// An agent with a minion that has room for everything. Polls with one message at a time.
class Agent
{
public:
    ExchangeRequest next(std::int64_t waitMs)
    {
        ExchangeRequest request;
        request.agent = "agent";
        request.session = "s";
        request.number = ++m_number;
        request.epoch = m_epoch;
        request.registered = request.reachable = request.listed = true;
        request.facts = {{"m", 1}, "svc", "dc", {}, Resources(40'000, 80'000, 0), false, 0};
        for (const RunKey &run : m_runs)
            request.runs.emplace_back().run = run;
        request.orderSeen = m_orderSeen;
        request.waitMs = waitMs;
        return request;
    }
    void apply(const ExchangeReply &reply)
    {
        m_epoch = reply.epoch;
        for (const RunOrder &order : reply.orders) {
            m_orderSeen = std::max(m_orderSeen, order.sequence);
            if (order.kind == OrderKind::Start)
                m_runs.insert(order.run);
        }
    }
    /// Sends a message and applies the reply; false without one.
    bool poll(Host &host)
    {
        const auto reply = host.exchange(next(0));
        if (reply.ok())
            apply(*reply);
        return reply.ok();
    }
    bool runs(const std::string &job) const
    {
        return std::any_of(m_runs.begin(), m_runs.end(),
                           [&](const RunKey &run) { return run.task.rfind(job + ".", 0) == 0; });
    }

private:
    std::int64_t m_number = 0;
    std::int64_t m_epoch = 0;
    std::int64_t m_orderSeen = 0;
    std::set<RunKey> m_runs;
};

} // namespace

// Guards against runs that the next owner stops, since no agent has heard of them.
TEST_CASE("an owner releases its cell only after the agent has the starts that are stored")
{
    MemoryRows store;
    Metrics metrics;
    Host host(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    host.setCatalog(catalog());
    REQUIRE(eventually([&] { return host.owns(); }));
    Agent agent;
    REQUIRE(agent.poll(host));
    submit(store, "a");
    REQUIRE(eventually([&] {
        const auto reply = host.exchange(agent.next(0)); // confirms nothing: not applied
        return reply.ok() && isPlaced(store, "a");
    }));
    host.startRelease(Milliseconds(60'000));
    submit(store, "b");
    // The owner decides at least once between two renewals.
    const std::int64_t sequence = ownerRecord(store).sequence;
    REQUIRE(eventually([&] { return ownerRecord(store).sequence >= sequence + 2; }));
    CHECK_FALSE(ownerRecord(store).released);
    REQUIRE(eventually([&] { return agent.poll(host) && agent.runs("a"); }));
    static_cast<void>(host.exchange(agent.next(0))); // confirms the start
    REQUIRE(eventually([&] { return ownerRecord(store).released; }));
    CHECK_FALSE(isPlaced(store, "b"));
}

TEST_CASE("an owner does not wait long for an agent that confirms nothing")
{
    MemoryRows store;
    Metrics metrics;
    Host host(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    host.setCatalog(catalog());
    REQUIRE(eventually([&] { return host.owns(); }));
    Agent agent;
    REQUIRE(agent.poll(host));
    submit(store, "a");
    REQUIRE(eventually([&] { return isPlaced(store, "a"); }));
    host.release(deadlineIn(10'000));
    CHECK(ownerRecord(store).released);
}

// Guards against a handover that takes as long as reading the whole cell.
TEST_CASE("one process reads a cell ahead and takes it over with the changes since")
{
    MemoryRows store;
    Metrics metrics;
    Host first(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    first.setCatalog(catalog());
    REQUIRE(eventually([&] { return first.owns(); }));
    Host second(store, metrics, "svc", "vm-b-1", "1.1.1.2:1", DispatchLimits{});
    Host third(store, metrics, "svc", "vm-c-1", "1.1.1.3:1", DispatchLimits{});
    Agent agent;
    REQUIRE(agent.poll(first));
    for (const char *id : {"a", "b", "c", "d", "e", "f", "g"})
        submit(store, id);
    REQUIRE(eventually([&] { return isPlaced(store, "g"); }));
    const int reads = store.pageReads(cells::progressTable);
    first.announceRelease();
    REQUIRE(eventually([&] { return store.pageReads(cells::progressTable) >= reads + 3; }));
    // What changes from now on is not in the rows read ahead.
    submit(store, "late");
    REQUIRE(eventually([&] { return agent.poll(first) && agent.runs("late"); }));
    // From now on only a process that has read the cell ahead can load it.
    store.holdReads(cells::progressTable);
    static_cast<void>(first.exchange(agent.next(0)));
    first.release(deadlineIn(10'000));
    REQUIRE(eventually([&] { return second.owns() || third.owns(); }));
    CHECK(ownerRecord(store).epoch == 2);
    CHECK(store.pageReads(cells::progressTable) == reads + 3);
    // The new owner knows all runs: it orders no stop of what the agent reports in its epoch.
    Host &owner = second.owns() ? second : third;
    REQUIRE(agent.poll(owner));
    const auto adopted = owner.exchange(agent.next(0));
    REQUIRE(adopted.ok());
    CHECK(adopted->orders.empty());
    store.letReadsGo();
}

// Guards against agents that look the owner up in vain, and pause, before the next owner is known.
TEST_CASE("a poll of a released cell is answered when the next owner is known")
{
    MemoryRows store;
    Metrics metrics;
    Host first(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    REQUIRE(eventually([&] { return first.owns(); }));
    Agent agent;
    REQUIRE(agent.poll(first));
    std::string ownerAtAnswer;
    std::jthread poll([&, request = agent.next(60'000)] {
        const auto reply = first.exchange(request);
        if (kindOf(reply.status()) == ErrorKind::StaleCommand)
            ownerAtAnswer = ownerRecord(store).owner;
    });
    first.release(deadlineIn(10'000));
    // A report is answered at once.
    CHECK(kindOf(first.exchange(agent.next(0)).status()) == ErrorKind::StaleCommand);
    Host second(store, metrics, "svc", "vm-b-1", "1.1.1.2:1", DispatchLimits{});
    poll.join();
    CHECK(ownerAtAnswer == "vm-b-1");
}

// Guards against a handover to a process that is stopped in the same roll.
TEST_CASE("a successor that is stopping is replaced by another process")
{
    MemoryRows store;
    Metrics metrics;
    Host first(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    REQUIRE(eventually([&] { return first.owns(); }));
    const auto successor = [&] {
        const auto row = store.readOne(cells::successorRowKey("svc"), deadlineIn(1000));
        return row->version == 0 ? ""
                                 : parseAs<SuccessorRecord>(row->value, "successor row")->process;
    };
    Host second(store, metrics, "svc", "vm-b-1", "1.1.1.2:1", DispatchLimits{});
    first.announceRelease();
    REQUIRE(eventually([&] { return successor() == "vm-b-1"; }));
    Host third(store, metrics, "svc", "vm-c-1", "1.1.1.3:1", DispatchLimits{});
    second.stopClaiming();
    REQUIRE(eventually([&] { return successor() == "vm-c-1"; }));
    // Each of the three has read the empty table once.
    REQUIRE(eventually([&] { return store.pageReads(cells::progressTable) == 3; }));
    store.holdReads(cells::progressTable);
    first.release(deadlineIn(10'000));
    REQUIRE(eventually([&] { return third.owns(); }));
    store.letReadsGo();
}

TEST_CASE("a cell whose successor ends is taken over by another process")
{
    MemoryRows store;
    Metrics metrics;
    Host first(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    REQUIRE(eventually([&] { return first.owns(); }));
    {
        Host second(store, metrics, "svc", "vm-b-1", "1.1.1.2:1", DispatchLimits{});
        first.announceRelease();
        REQUIRE(eventually([&] {
            return store.readOne(cells::successorRowKey("svc"), deadlineIn(1000))->version != 0;
        }));
    }
    Host third(store, metrics, "svc", "vm-c-1", "1.1.1.3:1", DispatchLimits{});
    first.release(deadlineIn(10'000));
    REQUIRE(eventually([&] { return third.owns(); }));
}
