// Tests of conditional transactions and of commits whose response is lost.
#include "lavenderarch/core/random.h"
#include "lavenderarch/storage/commit_once.h"

#include "faulty_table.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace lavenderarch;
using lavenderarch::testing::FaultyTable;

namespace {

TimePoint testDeadline()
{
    return SystemClock().now() + std::chrono::seconds(20);
}

} // namespace

TEST_CASE("a transaction is atomic")
{
    MemoryTable table;
    CHECK(table.commit({{{"a", 0}}, {{"a", "1"}, {"b", "2"}}}, testDeadline())->committed);
    const auto refused = table.commit({{{"a", 0}, {"b", 99}}, {{"c", "3"}}}, testDeadline());
    CHECK(refused->conflicts == std::vector<std::string>{"a", "b"});
    CHECK(table.read("c", testDeadline())->version == 0);
    CHECK(table.scan("", testDeadline())->size() == 2);
    const auto version = table.read("a", testDeadline())->version;
    CHECK(table.commit({{{"a", version}}, {{"a", "", true}}}, testDeadline())->committed);
    CHECK(table.read("a", testDeadline())->version == 0);
}

TEST_CASE("lost requests and responses neither duplicate nor lose an increment")
{
    FaultyTable table(7);
    table.setResponseLossRate(0.3);
    table.setRequestLossRate(0.2);
    constexpr int writers = 4;
    constexpr int rounds = 50;
    std::atomic<int> committed{0};
    std::vector<std::thread> threads;
    threads.reserve(writers);
    for (int writer = 0; writer < writers; ++writer) {
        threads.emplace_back([&] {
            for (int round = 0; round < rounds; ++round) {
                const TableRow row = *table.read("counter", testDeadline());
                const int count = row.version == 0 ? 0 : std::stoi(row.value);
                const std::string marker = "marker/" + makeUniqueId();
                const TableTransaction change{
                    {{"counter", row.version}, {marker, 0}},
                    {{"counter", std::to_string(count + 1)}, {marker, marker}}};
                const auto result = commitOnce(table, change, {marker, marker}, testDeadline());
                if (result.ok() && result->committed)
                    ++committed;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(std::stoi(table.read("counter", testDeadline())->value) == committed.load());
    CHECK(committed.load() >= rounds);
}

TEST_CASE("StoreUnavailable and OutcomeUnknown distinguish whether a write may have been applied")
{
    FaultyTable table;
    table.setDown(true);
    const auto result = commitOnce(table, {{{"a", 0}}, {{"a", "x"}}}, {"a", "x"},
                                   SystemClock().now() + Milliseconds(50));
    REQUIRE_FALSE(result.ok());
    CHECK(kindOf(result.status()) == ErrorKind::StoreUnavailable);
    table.setDown(false);
    table.setRequestLossRate(1);
    const auto unknown = commitOnce(table, {{{"a", 0}}, {{"a", "x"}}}, {"a", "x"},
                                    SystemClock().now() + Milliseconds(50));
    REQUIRE_FALSE(unknown.ok());
    CHECK(kindOf(unknown.status()) == ErrorKind::OutcomeUnknown);
}
