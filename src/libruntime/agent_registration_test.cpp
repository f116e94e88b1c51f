// Tests of the agent's threads with check-ins of another writer.
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/runtime/agent_loop.h"
#include "memory_rows.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::MemoryRows;

namespace {

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

/// The minion "m", born at 5. Refuses calls for another id, and calls with a lower fencing token
/// than the highest that it has seen.
class FakeMinion
{
public:
    MinionAnswer start(const ControlContext &, const RunOrder &, const RunLedger::Lease &, BootTime)
    {
        return {};
    }
    MinionAnswer stop(const ControlContext &, const RunKey &, BootTime) { return {}; }
    MinionAnswer pace(const ControlContext &, const RunKey &, int, BootTime) { return {}; }
    StatusOr<MinionListing> renew(const ControlContext &context,
                                  const std::optional<RunLedger::Lease> &, std::int64_t,
                                  std::int64_t waitMs, BootTime)
    {
        const std::scoped_lock lock(m_mutex);
        if (context.incarnation.id != "m")
            return makeError(ErrorKind::StaleCommand, "the minion answered 421");
        if (context.fencingToken() < m_fence)
            return makeError(ErrorKind::StaleCommand, "the minion answered 409");
        m_fence = context.fencingToken();
        if (waitMs > 0)
            m_followed = context.incarnation;
        MinionListing listing;
        listing.clockMs = 1000;
        listing.bornMs = 5;
        return listing;
    }
    MinionIncarnation followed() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_followed;
    }

private:
    mutable std::mutex m_mutex;
    std::int64_t m_fence = 0;
    MinionIncarnation m_followed; // by the newest renewal that waits; guarded by m_mutex
};

MinionFacts factsOf(const std::string &id, std::int64_t bornMs)
{
    MinionFacts facts;
    facts.incarnation = {id, bornMs};
    facts.service = "svc";
    return facts;
}

} // namespace

// The agent followed the odd incarnation and ignored its minion as an older one, for ever.
TEST_CASE("an agent goes on following its minion after a check-in of another writer")
{
    MemoryRows store;
    FakeMinion minion;
    HttpClient client;
    ExchangeChannel channel(client);
    Metrics metrics;
    AgentLoop loop(store, minion, channel, metrics, "svc", "agent", "s", Milliseconds(5000));
    loop.checkIn(factsOf("m", 1'000'000), 1);
    loop.checkIn(factsOf("odd", 1'000'000), 1);
    loop.checkIn(factsOf("m", 5), 1);
    CHECK(eventually([&] { return minion.followed() == MinionIncarnation{"m", 5}; }));
    loop.checkIn(factsOf("m", 1'000'000), 2);
    loop.checkIn(factsOf("odd", 1'000'001), 1);
    for (int sequence = 2; sequence < 10; ++sequence) {
        loop.checkIn(factsOf("m", 5), sequence);
        std::this_thread::sleep_for(Milliseconds(50));
        CHECK(minion.followed() == MinionIncarnation{"m", 5});
    }
    CHECK(metrics.exposition().find("lavender_invalid_entries_total{") != std::string::npos);
}
