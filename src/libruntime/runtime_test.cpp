// Tests of job acceptance, job states and cell ownership against an in-memory store.
#include "lavenderarch/runtime/cell_host.h"
#include "lavenderarch/runtime/job_frontend.h"
#include "memory_rows.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::MemoryRows;

namespace {

JobSpec job(const std::string &id)
{
    JobSpec spec;
    spec.id = id;
    spec.queue = "q";
    spec.service = "svc";
    spec.steps.emplace_back();
    return spec;
}

BootTime deadlineIn(int milliseconds)
{
    return BootClock::now() + Milliseconds(milliseconds);
}

/// Epoch in the owner row of the cell "svc".
std::int64_t storedEpoch(MemoryRows &store)
{
    const auto row = store.readOne(cells::ownerRowKey("svc"), deadlineIn(1000));
    return row.ok() && row->version != 0 ? parseJson(row->value, "row")->at("epoch").get<int>() : 0;
}

ExchangeRequest pollOf(const std::string &agent, std::int64_t number, std::int64_t epoch)
{
    ExchangeRequest request;
    request.agent = agent;
    request.session = "s";
    request.number = number;
    request.epoch = epoch;
    request.reachable = true;
    return request;
}

/// Polls until `condition` holds. False after ten seconds, which is far longer than any wait of
/// these tests takes.
template <typename Condition>
bool eventually(Condition condition)
{
    for (int turn = 0; turn < 1000; ++turn) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
}

} // namespace

TEST_CASE("a job is stored once, however often it is submitted")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    CHECK(frontend.submit(job("a"), deadlineIn(2000)).ok());
    CHECK(frontend.submit(job("a"), deadlineIn(2000)).ok());
    CHECK(store.commits() == 1);
    CHECK(*frontend.phase("svc", "a", deadlineIn(2000)) == JobPhase::Queued);
    CHECK(frontend.pending("q") == 1);
    CHECK(kindOf(frontend.phase("svc", "b", deadlineIn(2000)).status()) == ErrorKind::NotFound);
    CHECK(kindOf(frontend.cancel("svc", "b", deadlineIn(2000))) == ErrorKind::NotFound);
}

TEST_CASE("a refused write is reported as not stored and is never stored later")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    store.setFault(MemoryRows::Fault::Refuse);
    CHECK(kindOf(frontend.submit(job("a"), deadlineIn(400))) == ErrorKind::StoreUnavailable);
    store.setFault(MemoryRows::Fault::None);
    CHECK(kindOf(frontend.phase("svc", "a", deadlineIn(2000)).status()) == ErrorKind::NotFound);
    CHECK(store.commits() == 0);
}

TEST_CASE("the next attempt finds that a write with a lost answer was stored")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    store.setFault(MemoryRows::Fault::LoseResponse);
    std::jthread faultClearer([&] {
        std::this_thread::sleep_for(Milliseconds(100));
        store.setFault(MemoryRows::Fault::None);
    });
    CHECK(frontend.submit(job("a"), deadlineIn(5000)).ok());
    CHECK(store.commits() == 1);
}

TEST_CASE("without an answer in time the outcome is unknown, unless the stored row is observed")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    store.setFault(MemoryRows::Fault::LoseResponse);
    CHECK(kindOf(frontend.submit(job("a"), deadlineIn(200))) == ErrorKind::OutcomeUnknown);
    std::jthread follower([&] {
        const auto rows = store.follow(cells::stateTable, 1, deadlineIn(5000));
        for (const Row &row : rows->rows)
            frontend.applyState(row);
    });
    CHECK(frontend.submit(job("b"), deadlineIn(5000)).ok());
}

TEST_CASE("the owner's state takes precedence over the one written at acceptance")
{
    JobStateCache states;
    const JobSpec spec = job("a");
    const RowWrite queued = cells::queuedWrite("svc", spec);
    const RowWrite done = cells::stateWrite("svc", spec, JobPhase::Done);
    states.apply({done.key, done.value, 9, false});
    states.apply({queued.key, queued.value, 5, false});
    CHECK(states.find("a")->phase == JobPhase::Done);
    CHECK(states.pending("q") == 0);
}

TEST_CASE("a cell has one owner, and another process takes it over after its release")
{
    MemoryRows store;
    Metrics metrics;
    auto first = std::make_unique<CellHost<MemoryRows>>(store, metrics, "svc", "vm-a-1",
                                                        "1.1.1.1:1", DispatchLimits{});
    REQUIRE(eventually([&] { return first->owns(); }));
    CellHost<MemoryRows> second(store, metrics, "svc", "vm-b-1", "1.1.1.2:1", DispatchLimits{});
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    CHECK(frontend.submit(job("a"), deadlineIn(5000)).ok());
    CHECK_FALSE(second.owns());
    ExchangeRequest request;
    request.agent = "agent";
    request.session = "s";
    request.number = 1;
    CHECK(first->exchange(request)->epoch == 1);
    CHECK(kindOf(second.exchange(request).status()) == ErrorKind::StaleCommand);
    first->release();
    REQUIRE(eventually([&] { return second.owns(); }));
    CHECK_FALSE(first->owns());
    request.number = 2;
    CHECK(second.exchange(request)->epoch == 2);
    CHECK(kindOf(first->exchange(request).status()) == ErrorKind::StaleCommand);
}

// Guards against ownership that moves on each time before a slow load ends.
TEST_CASE("a cell whose load takes longer than the takeover timeout stays with its new owner")
{
    MemoryRows store;
    Metrics metrics;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    for (const char *id : {"a", "b", "c", "d", "e", "f", "g"})
        REQUIRE(frontend.submit(job(id), deadlineIn(5000)).ok());
    store.holdReads(cells::jobTable);
    CellHost<MemoryRows> first(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    CellHost<MemoryRows> second(store, metrics, "svc", "vm-b-1", "1.1.1.2:1", DispatchLimits{});
    // The process that does not own the cell reads the owner row at each watchInterval.
    const auto enough = static_cast<int>(2 * ownerTakeoverTimeout / watchInterval);
    REQUIRE(eventually([&] { return store.singleReads() >= enough; }));
    CHECK_FALSE((first.owns() || second.owns()));
    store.letReadsGo();
    REQUIRE(eventually([&] { return first.owns() || second.owns(); }));
    CHECK(storedEpoch(store) == 1);
}

// Guards against leases that lapse while a new owner loads its cell.
TEST_CASE("a poll is granted a lease while the cell is loaded, and its runs are known afterwards")
{
    MemoryRows store;
    Metrics metrics;
    store.holdReads(cells::jobTable);
    CellHost<MemoryRows> host(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    REQUIRE(eventually([&] { return storedEpoch(store) == 1; }));
    StatusOr<ExchangeReply> reply = makeError(ErrorKind::StaleCommand, "");
    REQUIRE(eventually([&] {
        reply = host.exchange(pollOf("agent", 1, 0));
        return reply.ok();
    }));
    CHECK_FALSE(host.owns());
    CHECK(reply->epoch == 1);
    CHECK(reply->grantMs == DispatchLimits{}.leaseMs);
    CHECK(reply->orders.empty());
    ExchangeRequest unreachable = pollOf("silent", 1, 0);
    unreachable.reachable = false;
    CHECK(host.exchange(unreachable)->grantMs == 0);
    // A poll that knows the epoch is answered by the loaded owner.
    std::jthread letGo([&] { store.letReadsGo(); });
    ExchangeRequest waiting = pollOf("agent", 2, 1);
    waiting.waitMs = 10'000;
    CHECK(host.exchange(waiting)->epoch == 1);
    CHECK(host.owns());
}

// Guards against an owner that keeps, or claims again at once, a cell that it cannot load.
TEST_CASE("a cell that cannot be loaded is released and not claimed again at once")
{
    MemoryRows store;
    Metrics metrics;
    store.holdReads(cells::jobTable);
    CellHost<MemoryRows> host(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{},
                              Milliseconds(300));
    const auto isReleased = [&] {
        const auto row = store.readOne(cells::ownerRowKey("svc"), deadlineIn(1000));
        return row->version != 0 && parseJson(row->value, "row")->at("released").get<bool>();
    };
    REQUIRE(eventually(isReleased));
    const int reads = store.singleReads();
    REQUIRE(eventually([&] { return store.singleReads() >= reads + 5; }));
    CHECK(isReleased());
    CHECK(storedEpoch(store) == 1);
    store.letReadsGo();
    CellHost<MemoryRows> other(store, metrics, "svc", "vm-b-1", "1.1.1.2:1", DispatchLimits{});
    REQUIRE(eventually([&] { return other.owns(); }));
    CHECK(storedEpoch(store) == 2);
}

TEST_CASE("a cell is released while it is loaded")
{
    MemoryRows store;
    Metrics metrics;
    store.holdReads(cells::jobTable);
    CellHost<MemoryRows> host(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    REQUIRE(eventually([&] { return storedEpoch(store) == 1; }));
    host.release();
    CHECK(store.readOne(cells::ownerRowKey("svc"), deadlineIn(1000))
              ->value.find("\"released\":true") != std::string::npos);
    CHECK(kindOf(host.exchange(pollOf("agent", 1, 0)).status()) == ErrorKind::StaleCommand);
    store.letReadsGo();
}
