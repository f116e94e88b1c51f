// Tests of the cell's owner and the cache of job states with rows of another writer.
#include "lavenderarch/runtime/cell_host.h"
#include "lavenderarch/runtime/job_state_cache.h"
#include "memory_rows.h"

#include <deque>
#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::MemoryRows;

namespace {

BootTime deadlineIn(int milliseconds)
{
    return BootClock::now() + Milliseconds(milliseconds);
}

template <typename Condition>
bool eventually(Condition condition)
{
    for (int turn = 0; turn < 1500; ++turn) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
}

} // namespace

// An owner row that nobody could read left the cell without an owner.
TEST_CASE("a cell with an owner row of another writer is taken over in a higher epoch")
{
    const RowKey key = cells::ownerRowKey("svc");
    Metrics metrics;
    std::deque<MemoryRows> stores;
    std::vector<std::int64_t> versions;
    std::deque<CellHost<MemoryRows>> hosts;
    const std::vector<std::string> oddRows{"\xff",
                                           "",
                                           "7",
                                           "{\"epoch\":9223372036854775807}",
                                           "{\"epoch\":-1}",
                                           "{\"epoch\":1e300}",
                                           "{\"owner\":7}"};
    for (const std::string &odd : oddRows) {
        MemoryRows &store = stores.emplace_back();
        const OwnerRecord former{"vm-z-1", "1.1.1.1:1", 1, 1, "m", false, false};
        for (const std::string &value : {jsonText(former), odd}) {
            RowTransaction change;
            change.writes.push_back({key, value, false});
            REQUIRE(store.commit(change, deadlineIn(1000)).ok());
        }
        versions.push_back(store.readOne(key, deadlineIn(1000))->version);
        hosts.emplace_back(store, metrics, "svc", "vm-a-1", "1.1.1.1:1", DispatchLimits{});
    }
    for (std::size_t index = 0; index < oddRows.size(); ++index) {
        CAPTURE(oddRows[index]);
        REQUIRE(eventually([&] { return hosts[index].owns(); }));
        const auto record =
            parseAs<OwnerRecord>(stores[index].readOne(key, deadlineIn(1000))->value, "owner row");
        REQUIRE(record.ok());
        CHECK(record->owner == "vm-a-1");
        CHECK(record->epoch == versions[index] + 1);
    }
}

// An unknown phase was read as queued, the first of the list.
TEST_CASE("an odd state row does not replace the known state of a job")
{
    JobStateCache states;
    const RowKey key = cells::stateKey("svc", "j");
    states.apply({key, R"({"queue":"q","phase":"running","timed":false})", 1, false});
    std::int64_t version = 2;
    for (const char *odd : {"", "\xff", "7", R"({"queue":"q","phase":"melted"})",
                            R"({"queue":"q","phase":7})", R"({"queue":7,"phase":"done"})"}) {
        CAPTURE(odd);
        states.apply({key, odd, version++, false});
        REQUIRE(states.find("j").has_value());
        CHECK(states.find("j")->phase == JobPhase::Running);
    }
    states.apply({key, R"({"queue":"q","phase":"done","timed":false})", version, false});
    CHECK(states.find("j")->phase == JobPhase::Done);
}
