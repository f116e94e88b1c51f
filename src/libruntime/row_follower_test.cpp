// Tests of the follower of a table: batches of changes and errors of its callbacks.
#include "lavenderarch/runtime/row_follower.h"
#include "memory_rows.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::MemoryRows;

namespace {

/// An in-memory store that counts the calls of a follower.
class CountedRows : public MemoryRows
{
public:
    StatusOr<RowRange> follow(const std::string &table, std::int64_t version, BootTime deadline)
    {
        ++m_calls;
        return MemoryRows::follow(table, version, deadline);
    }
    int calls() const { return m_calls; }

private:
    std::atomic<int> m_calls{0};
};

/// Changes arrive whole only with a timeout of `transferTime` or more.
class SlowChanges : public MemoryRows
{
public:
    StatusOr<RowRange> follow(const std::string &table, std::int64_t version, BootTime deadline)
    {
        const bool slow = deadline - BootClock::now() < transferTime;
        auto changed = MemoryRows::follow(table, version, deadline);
        if (changed.ok() && !changed->rows.empty() && slow)
            return makeError(ErrorKind::CorruptedAnswer, "response ended after 1 of 2 bytes");
        return changed;
    }
    StatusOr<RowRange> changes(const std::string &table, std::int64_t version, BootTime deadline)
    {
        if (deadline - BootClock::now() < transferTime)
            return makeError(ErrorKind::CorruptedAnswer, "response ended after 1 of 2 bytes");
        return MemoryRows::changes(table, version, deadline);
    }

private:
    static constexpr Milliseconds transferTime{4000};
};

void write(MemoryRows &store, const std::string &key)
{
    const RowTransaction change{{}, {{{"t", "", key}, "v", false}}};
    REQUIRE(store.commit(change, BootClock::now() + Milliseconds(2000)).ok());
}

void waitUntil(const std::function<bool()> &reached)
{
    while (!reached())
        std::this_thread::sleep_for(Milliseconds(1));
}

} // namespace

// Pattern: calls that grow with the changes. Each entry asked again after each change, which was
// the largest price of a day with 55 entries.
TEST_CASE("a follower with an interval reads the changes in between with one call")
{
    CountedRows store;
    std::atomic<int> changes{0};
    const RowFollower<CountedRows> follower(
        store, "t", [] { return StatusOr<ReloadedTable>(ReloadedTable{}); },
        [&](const Row &) { ++changes; }, [](BootTime) {}, std::nullopt, Milliseconds(200));
    waitUntil([&] { return store.calls() == 1; });
    const BootTime began = BootClock::now();
    for (int change = 0; change < 60; ++change) {
        write(store, "k" + std::to_string(change));
        std::this_thread::sleep_for(Milliseconds(10));
    }
    waitUntil([&] { return changes == 60; });
    const auto intervals = (BootClock::now() - began).count() / 200;
    CHECK(store.calls() <= intervals + 3);
}

// Guards against changes that are asked for again and again with a timeout in which they cannot
// arrive.
TEST_CASE("changes of which only a part arrives are read again with a longer timeout")
{
    SlowChanges store;
    std::atomic<int> changes{0};
    const RowFollower<SlowChanges> follower(
        store, "t", [] { return StatusOr<ReloadedTable>(ReloadedTable{}); },
        [&](const Row &) { ++changes; });
    write(store, "a");
    for (const BootTime end = BootClock::now() + Milliseconds(10'000);
         changes == 0 && BootClock::now() < end;)
        std::this_thread::sleep_for(Milliseconds(1));
    CHECK(changes == 1);
}

// The exception left the follower's thread and ended the process.
TEST_CASE("an exception of a follower's callback calls for a reload, and following goes on")
{
    CountedRows store;
    std::atomic<int> reloads{0};
    std::atomic<int> changes{0};
    const RowFollower<CountedRows> follower(
        store, "t",
        [&] {
            if (++reloads == 1)
                throw std::runtime_error("no thread");
            return StatusOr<ReloadedTable>(ReloadedTable{});
        },
        [&](const Row &) {
            if (++changes == 1)
                throw std::runtime_error("unexpected");
        });
    waitUntil([&] { return store.calls() > 0; });
    CHECK(reloads == 2);
    write(store, "a");
    waitUntil([&] { return reloads == 3; });
    write(store, "b");
    waitUntil([&] { return changes >= 2; });
}
