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

// Guards against an inbox that counts as read up to the moment at which a late answer is handled.
TEST_CASE("a follower's rows are current as of the call, not as of its answer")
{
    MemoryRows store;
    std::atomic<BootTime> changedAt{BootTime::max()};
    std::vector<BootTime> currentAsOf; // of answers with a change
    std::atomic<bool> answered{false};
    RowFollower<MemoryRows> follower(
        store, "t", [] { return StatusOr<std::int64_t>(0); },
        [&](const Row &) { changedAt = BootClock::now(); },
        [&](BootTime asOf) {
            if (changedAt.load() == BootTime::max() || answered)
                return;
            currentAsOf.push_back(asOf);
            answered = true;
        });
    // The follower's call is open for some time before the change answers it.
    std::this_thread::sleep_for(Milliseconds(50));
    const BootTime beforeChange = BootClock::now();
    std::this_thread::sleep_for(Milliseconds(5));
    RowTransaction change;
    change.writes.push_back({{"t", "", "k"}, "v", false});
    REQUIRE(store.commit(change, deadlineIn(2000)).ok());
    REQUIRE(eventually([&] { return answered.load(); }));
    CHECK(currentAsOf.front() <= beforeChange);
}

// Guards against a run of a job whose cancellation is among the rows that the owner has received.
TEST_CASE("an owner places no task between two rows of one answer of the store")
{
    MemoryRows store;
    Metrics metrics;
    CellHost<MemoryRows> host(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    REQUIRE(eventually([&] { return host.owns(); }));
    auto catalog = std::make_shared<QueueCatalog>();
    catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
    catalog->services.insert("svc");
    host.setCatalog(catalog);
    ExchangeRequest request;
    request.agent = "agent";
    request.session = "s";
    request.epoch = 1;
    request.registered = request.reachable = true;
    request.facts = {{"m", 1}, "svc", "dc", {}, Resources(40'000, 80'000, 0), false, 0};
    for (int round = 0; round < 20; ++round) {
        ++request.number;
        REQUIRE(host.exchange(request)->orders.empty());
        RowTransaction change;
        std::string last;
        for (int index = 0; index < 20; ++index) {
            last = std::to_string(round) + "-" + std::to_string(index);
            change.writes.push_back(cells::jobWrite("svc", job(last)));
            change.writes.push_back({cells::cancelKey("svc", last), "{}", false});
        }
        REQUIRE(store.commit(change, deadlineIn(2000)).ok());
        REQUIRE(eventually([&] {
            return store.readOne(cells::stateKey("svc", last), deadlineIn(2000))->version != 0;
        }));
    }
    ++request.number;
    CHECK(host.exchange(request)->orders.empty());
}
