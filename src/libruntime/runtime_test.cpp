// Tests of job acceptance, job states and cell ownership against an in-memory store.
#include "lavenderarch/runtime/cell_host.h"
#include "lavenderarch/runtime/job_frontend.h"
#include "lavenderarch/runtime/job_state_reload.h"
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

// Jobs that no owner had touched yet vanished from the count after a reload of the states.
TEST_CASE("jobs that no owner has touched stay pending when the change history is lost")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    CHECK(frontend.submit(job("a"), deadlineIn(2000)).ok());
    CHECK(frontend.submit(job("b"), deadlineIn(2000)).ok());
    const JobSpec begun = job("c");
    CHECK(frontend.submit(begun, deadlineIn(2000)).ok());
    const RowTransaction begins{{}, {cells::stateWrite("svc", begun, JobPhase::Running)}};
    CHECK(store.commit(begins, deadlineIn(2000)).ok());
    std::atomic<int> reloads = 0;
    const RowFollower<MemoryRows> follower(
        store, cells::stateTable,
        [&] {
            auto reloaded = reloadJobStates(store, {"svc"}, states);
            ++reloads;
            return reloaded;
        },
        [&](const Row &row) { frontend.applyState(row); });
    REQUIRE(eventually([&] { return reloads == 1; }));
    CHECK(frontend.pending("q") == 2);
    CHECK(frontend.submit(job("d"), deadlineIn(2000)).ok());
    REQUIRE(eventually([&] { return frontend.pending("q") == 3; }));
    store.forgetHistory();
    REQUIRE(eventually([&] { return reloads == 2; }));
    CHECK(frontend.pending("q") == 3);
    CHECK(states.find("c")->phase == JobPhase::Running);
}

// A reload forgot states that were read directly from the store while it was being made.
TEST_CASE("a reload keeps newer states and drops removed ones")
{
    JobStateCache states;
    const auto row = [](const std::string &id, JobPhase phase, std::int64_t version) {
        const RowWrite write = cells::stateWrite("svc", job(id), phase);
        return Row{write.key, write.value, version, false};
    };
    states.apply(row("removed", JobPhase::Queued, 3));
    states.apply(row("accepted-since", JobPhase::Queued, 8));
    states.apply(row("begun-since", JobPhase::Running, 9));
    states.replace({row("begun-since", JobPhase::Queued, 4), row("read", JobPhase::Queued, 6)}, 7);
    CHECK_FALSE(states.find("removed"));
    REQUIRE(states.find("accepted-since"));
    CHECK(states.find("begun-since")->phase == JobPhase::Running);
    CHECK(states.find("read")->phase == JobPhase::Queued);
    CHECK(states.pending("q") == 2);
}

// Guards against jobs that a caller submits without end: the owner of the cell keeps each of them.
TEST_CASE("jobs are refused when those of their cell leave too little memory")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states, 4000);
    JobSpec large = job("large");
    large.steps.front().count = 100;
    CHECK(estimatedMemoryKib(large) > 25);
    int accepted = 0;
    Status refused;
    while (refused.ok()) {
        large.id = "large" + std::to_string(accepted);
        refused = frontend.submit(large, deadlineIn(2000));
        accepted += refused.ok() ? 1 : 0;
    }
    CHECK(kindOf(refused) == ErrorKind::Overloaded);
    CHECK(accepted > 20);
    CHECK(states.memoryKib("svc") < 3000);
    const auto row = store.readOne(cells::jobKey("svc", large.id), deadlineIn(2000));
    REQUIRE(row.ok());
    CHECK(row->version == 0); // what was refused is not stored
    CHECK(frontend.submit(job("small"), deadlineIn(2000)).ok());
    // A repeated attempt of an accepted job is not refused.
    large.id = "large0";
    CHECK(frontend.submit(large, deadlineIn(2000)).ok());

    const RowWrite done = cells::stateWrite("svc", large, JobPhase::Done);
    const std::int64_t before = states.memoryKib("svc");
    frontend.applyState({done.key, done.value, 1000, false});
    CHECK(states.memoryKib("svc") < before - 20);
    frontend.applyState({done.key, "", 1001, true});
    CHECK(states.memoryKib("svc") == before - estimatedMemoryKib(large));
    large.id = "large" + std::to_string(accepted);
    CHECK(frontend.submit(large, deadlineIn(2000)).ok());
}

// Guards against jobs that no store takes: the others in their transaction were refused with them.
TEST_CASE("a job that is too large for a row is refused at once")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    JobSpec large = job("large");
    large.payload = std::string(70'000, 'p');
    CHECK(kindOf(frontend.submit(large, deadlineIn(2000))) == ErrorKind::PayloadTooLarge);
    CHECK(store.attempts() == 0);
    CHECK(states.memoryKib("svc") == 0);
}

TEST_CASE("jobs are stored in transactions that the store takes")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    // The first transactions are repeated for a while, so that the other jobs wait together.
    store.setFault(MemoryRows::Fault::Refuse);
    constexpr int jobs = 30;
    std::vector<std::jthread> callers;
    callers.reserve(jobs);
    for (int number = 0; number < jobs; ++number) {
        callers.emplace_back([&, number] {
            JobSpec large = job("large" + std::to_string(number));
            large.payload = std::string(60'000, 'p');
            CHECK(kindOf(frontend.submit(large, deadlineIn(5000))) == ErrorKind::StoreUnavailable);
        });
    }
    callers.clear();
    CHECK(store.largestCommitBytes() > 2 * 60'000);
    CHECK(store.largestCommitBytes() < std::size_t{1024} * 1024 * 3 / 4);
}

TEST_CASE("a job that was not accepted takes no memory")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states, 400);
    store.setFault(MemoryRows::Fault::LoseResponse);
    CHECK_FALSE(frontend.submit(job("a"), deadlineIn(200)).ok());
    CHECK(states.memoryKib("svc") == 0);
}

// A job with a state row that cannot be parsed was subtracted from the count twice.
TEST_CASE("a state row that cannot be parsed changes neither the state nor the pending count")
{
    JobStateCache states;
    const RowWrite queued = cells::queuedWrite("svc", job("a"));
    const RowWrite running = cells::stateWrite("svc", job("a"), JobPhase::Running);
    states.apply({queued.key, queued.value, 5, false});
    states.apply({running.key, "{", 6, false});
    CHECK(states.find("a")->phase == JobPhase::Queued);
    CHECK(states.pending("q") == 1);
    states.apply({running.key, running.value, 7, false});
    CHECK(states.find("a")->phase == JobPhase::Running);
    CHECK(states.pending("q") == 0);
}

// A requested reload that failed was forgotten, and one requested before the start was made twice.
TEST_CASE("a requested reload is repeated until it succeeds")
{
    MemoryRows store;
    std::atomic<int> attempts = 0;
    std::atomic<int> reloads = 0;
    std::atomic<bool> configured = false;
    std::atomic<int> changes = 0;
    RowFollower<MemoryRows> follower(
        store, "t",
        [&]() -> StatusOr<ReloadedTable> {
            ++attempts;
            if (!configured)
                return makeError(ErrorKind::NotReady, "no configuration yet");
            const auto rows = store.read("t", "", deadlineIn(2000));
            if (!rows.ok())
                return rows.status();
            ++reloads;
            return ReloadedTable{rows->version, rows->rows.size()};
        },
        [&](const Row &) { ++changes; });
    const auto change = [&](const std::string &key) {
        return store.commit({{}, {{{"t", "", key}, "", false}}}, deadlineIn(2000)).ok();
    };
    REQUIRE(eventually([&] { return attempts > 0; }));
    follower.requestReload();
    configured = true;
    REQUIRE(eventually([&] { return follower.loaded(); }));
    CHECK(change("a"));
    REQUIRE(eventually([&] { return changes == 1; }));
    CHECK(change("b"));
    REQUIRE(eventually([&] { return changes == 2; }));
    CHECK(reloads == 1);
    const int before = reloads;
    store.failReads(2);
    follower.requestReload();
    CHECK(change("c"));
    CHECK(eventually([&] { return reloads > before; }));
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

// Guards against an inbox that counts as read up to the moment at which a late answer is handled.
TEST_CASE("a follower's rows are current as of the call, not as of its answer")
{
    MemoryRows store;
    std::atomic<BootTime> changedAt{BootTime::max()};
    std::vector<BootTime> currentAsOf; // of answers with a change
    std::atomic<bool> answered{false};
    RowFollower<MemoryRows> follower(
        store, "t", [] { return StatusOr<ReloadedTable>(ReloadedTable{}); },
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

// The cell's thread wrote these rows itself, so that no run was placed meanwhile.
TEST_CASE("an owner commits while the inbox rows of ended jobs are being written")
{
    MemoryRows store;
    Metrics metrics;
    CellHost<MemoryRows> host(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    REQUIRE(eventually([&] { return host.owns(); }));
    const auto submit = [&](const std::string &id) {
        return store.commit({{}, {cells::jobWrite("svc", job(id))}}, deadlineIn(2000)).ok();
    };
    const auto cancel = [&](const std::string &id) {
        const RowTransaction change{{}, {{cells::cancelKey("svc", id), "{}", false}}};
        return store.commit(change, deadlineIn(2000)).ok();
    };
    const auto isStored = [&](const std::string &id) {
        return store.readOne(cells::stateKey("svc", id), deadlineIn(2000))->version != 0;
    };
    REQUIRE(submit("a"));
    REQUIRE(submit("b"));
    store.holdCommits(cells::jobKey("svc", "a"));
    REQUIRE(cancel("a"));
    REQUIRE(eventually([&] { return store.heldCommits() == 1; }));
    CHECK(isStored("a"));
    REQUIRE(cancel("b"));
    CHECK(eventually([&] { return isStored("b"); }));
    CHECK(store.heldCommits() == 1);
    store.letCommitsGo();
    CHECK(eventually([&] {
        const auto row = store.readOne(cells::jobKey("svc", "a"), deadlineIn(2000));
        return cells::isSettledJob(*row);
    }));
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
