// Tests of the ends of gangs.
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/queue_catalog.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

constexpr BootTime start(Milliseconds(50'000));

/// A dispatcher with two minions, each of which has room for one member of a gang of two.
struct GangOwner
{
    CellDispatcher owner{"svc", {}, 1};
    std::array<ExchangeRequest, 2> requests;

    GangOwner()
    {
        auto catalog = std::make_shared<QueueCatalog>();
        catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
        catalog->services.insert("svc");
        owner.setCatalog(catalog);
        for (std::size_t index = 0; index < requests.size(); ++index) {
            const std::string number = std::to_string(index);
            ExchangeRequest &request = requests[index];
            request.agent = "agent-" + number;
            request.session = "s";
            request.epoch = 1;
            request.registered = request.reachable = request.listed = true;
            request.facts = {{"m" + number, 1},        "svc", "dc", {},
                             Resources(1000, 1000, 0), false, 0};
            report(index, start);
        }
        JobSpec job;
        job.id = "g";
        job.service = "svc";
        job.queue = "q";
        job.attempts = 2;
        job.steps.emplace_back();
        job.steps[0].count = 2;
        job.steps[0].gang = true;
        job.steps[0].demand = Resources(800, 200, 0);
        const RowWrite write = cells::jobWrite("svc", job);
        owner.applyJobRow({write.key, write.value, 1, false}, start);
        store(start);
    }
    void report(std::size_t minion, BootTime now)
    {
        ++requests[minion].number;
        owner.handleRequest(requests[minion], now, true);
    }
    void store(BootTime now)
    {
        while (owner.prepareCommit(now))
            owner.commitApplied(now);
    }
    TaskPhase phase(int index)
    {
        return owner.jobs().at("g").occurrences().at(0)[0][static_cast<std::size_t>(index)].phase;
    }
};

} // namespace

// A gang was placed again, its done members too, when a member ended otherwise after another one's
// end as done.
TEST_CASE("a member that ends otherwise after another one is done does not repeat the gang")
{
    GangOwner cell;
    REQUIRE(cell.phase(0) == TaskPhase::Placed);
    REQUIRE(cell.phase(1) == TaskPhase::Placed);
    const bool firstOnFirst = cell.owner.minions().at("agent-0").runs.count({"g.0.0.0", 1}) == 1;
    const std::size_t minion = firstOnFirst ? 0 : 1;
    cell.requests[minion].ends = {{1, {"g.0.0.0", 1}, RunOutcome::Done, "", ""}};
    cell.report(minion, start + Milliseconds(900));
    cell.store(start + Milliseconds(900));
    // The other minion crashed in the same moment.
    cell.requests[1 - minion].facts.incarnation = {"m-next", 2};
    cell.report(1 - minion, start + Milliseconds(1000));
    cell.store(start + Milliseconds(1000));
    CHECK(cell.phase(0) == TaskPhase::Done);
    CHECK(cell.phase(1) == TaskPhase::Done);
    CHECK(cell.owner.jobs().at("g").phase() == JobPhase::Done);
}
