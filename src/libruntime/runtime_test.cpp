// Tests of acceptance, job states and the ownership of a cell, over a store held in memory.
#include "lavenderarch/runtime/cell_host.h"
#include "lavenderarch/runtime/job_front.h"
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

BootTime in(int milliseconds)
{
    return BootClock::now() + Milliseconds(milliseconds);
}

/// Waits until `condition` holds; false after ten seconds, far beyond what any wait here needs.
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

TEST_CASE("a job is accepted once, however often it is handed in")
{
    MemoryRows store;
    JobStates states;
    JobFront<MemoryRows> front(store, states);
    CHECK(front.submit(job("a"), in(2000)).ok());
    CHECK(front.submit(job("a"), in(2000)).ok());
    CHECK(store.commits() == 1);
    CHECK(*front.phase("svc", "a", in(2000)) == JobPhase::Queued);
    CHECK(front.pending("q") == 1);
    CHECK(kindOf(front.phase("svc", "b", in(2000)).status()) == ErrorKind::NotFound);
    CHECK(kindOf(front.cancel("svc", "b", in(2000))) == ErrorKind::NotFound);
}

TEST_CASE("a refused write is answered as not stored, and never stored later")
{
    MemoryRows store;
    JobStates states;
    JobFront<MemoryRows> front(store, states);
    store.setFault(MemoryRows::Fault::Refuse);
    CHECK(kindOf(front.submit(job("a"), in(400))) == ErrorKind::StoreUnavailable);
    store.setFault(MemoryRows::Fault::None);
    CHECK(kindOf(front.phase("svc", "a", in(2000)).status()) == ErrorKind::NotFound);
    CHECK(store.commits() == 0);
}

TEST_CASE("a lost answer is resolved by the next try")
{
    MemoryRows store;
    JobStates states;
    JobFront<MemoryRows> front(store, states);
    store.setFault(MemoryRows::Fault::LoseResponse);
    std::jthread mender([&] {
        std::this_thread::sleep_for(Milliseconds(100));
        store.setFault(MemoryRows::Fault::None);
    });
    CHECK(front.submit(job("a"), in(5000)).ok());
    CHECK(store.commits() == 1);
}

TEST_CASE("without an answer in time the outcome is unknown, unless the row is seen")
{
    MemoryRows store;
    JobStates states;
    JobFront<MemoryRows> front(store, states);
    store.setFault(MemoryRows::Fault::LoseResponse);
    CHECK(kindOf(front.submit(job("a"), in(200))) == ErrorKind::OutcomeUnknown);
    std::jthread follower([&] {
        const auto rows = store.follow(cells::stateTable, 1, in(5000));
        for (const Row &row : rows->rows)
            front.applyState(row);
    });
    CHECK(front.submit(job("b"), in(5000)).ok());
}

TEST_CASE("the owner's state goes before the one written at acceptance")
{
    JobStates states;
    const JobSpec spec = job("a");
    const RowWrite queued = cells::queuedWrite("svc", spec);
    const RowWrite done = cells::stateWrite("svc", spec, JobPhase::Done);
    states.apply({done.key, done.value, 9, false});
    states.apply({queued.key, queued.value, 5, false});
    CHECK(states.find("a")->phase == JobPhase::Done);
    CHECK(states.pending("q") == 0);
}

TEST_CASE("a cell has one owner; it moves when the owner releases it, with its jobs")
{
    MemoryRows store;
    Metrics metrics;
    auto first = std::make_unique<CellHost<MemoryRows>>(store, metrics, "svc", "vm-a-1",
                                                        "1.1.1.1:1", DispatchLimits{});
    REQUIRE(eventually([&] { return first->owns(); }));
    CellHost<MemoryRows> second(store, metrics, "svc", "vm-b-1", "1.1.1.2:1", DispatchLimits{});
    JobStates states;
    JobFront<MemoryRows> front(store, states);
    CHECK(front.submit(job("a"), in(5000)).ok());
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
