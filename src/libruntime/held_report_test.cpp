// Tests of which of an agent's calls the owner answers when it has orders for the agent.
#include "lavenderarch/runtime/cell_host.h"
#include "memory_rows.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::MemoryRows;

namespace {

/// The owner of a cell without minions.
class Owner
{
public:
    MemoryRows store;
    Metrics metrics;
    CellHost<MemoryRows> host{store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{}};

    Owner()
    {
        while (!host.owns())
            std::this_thread::sleep_for(Milliseconds(10));
        auto catalog = std::make_shared<QueueCatalog>();
        catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
        catalog->services.insert("svc");
        host.setCatalog(catalog);
    }
    /// Submits a job of one task.
    void submit(const std::string &id)
    {
        JobSpec job;
        job.id = id;
        job.queue = "q";
        job.service = "svc";
        job.steps.emplace_back();
        const BootTime deadline = BootClock::now() + Milliseconds(5000);
        REQUIRE(store.commit({{}, {cells::jobWrite("svc", job)}}, deadline).ok());
    }
};

/// Longer than any test takes.
constexpr std::int64_t heldMs = 60'000;

ExchangeRequest messageOf(std::int64_t number, bool report)
{
    ExchangeRequest request;
    request.agent = "agent";
    request.session = "s";
    request.number = number;
    request.epoch = 1;
    request.reachable = true;
    request.report = report;
    request.waitMs = heldMs;
    return request;
}

} // namespace

TEST_CASE("an order answers the held report of the agent and not its poll")
{
    Owner owner;
    StatusOr<ExchangeReply> polled = makeError(ErrorKind::Internal, "");
    owner.submit("a");
    std::thread poll([&] { polled = owner.host.exchange(messageOf(1, false)); });
    ExchangeRequest report = messageOf(2, true);
    report.registered = true;
    report.facts = {{"m", 1}, "svc", "dc", {}, Resources(4000, 8000, 0), false, 0};
    const auto reported = owner.host.exchange(report); // waits until the task is placed
    CHECK(reported.ok());
    owner.submit("b");
    poll.join(); // waits until there is a further order
    REQUIRE(reported.ok());
    CHECK(reported->orders.size() == 1);
    CHECK(reported->holdsReports);
    REQUIRE(polled.ok());
    CHECK(polled->orders.size() == 2);
}

TEST_CASE("the next report ends the wait of the one before")
{
    Owner owner;
    std::atomic<bool> answered{false};
    std::thread held([&] {
        CHECK(owner.host.exchange(messageOf(1, true)).ok());
        answered = true;
    });
    for (std::int64_t number = 2; !answered; ++number) {
        ExchangeRequest next = messageOf(number, true);
        next.waitMs = 10;
        CHECK(owner.host.exchange(next).ok());
    }
    held.join();
}
