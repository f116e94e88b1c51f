// Tests of manifests, their concurrent acceptance, data centre changes and program settings.
#include "lavenderarch/config/data_centre_store.h"
#include "lavenderarch/config/manifest_holder.h"
#include "lavenderarch/config/manifest_store.h"
#include "lavenderarch/config/program_settings.h"
#include "lavenderarch/config/schema_check.h"

#include "faulty_table.h"

#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace lavenderarch;
using lavenderarch::testing::FaultyTable;

namespace {

constexpr const char *validText = R"({"deployment": "poolside",
 "dataCentres": [{"name": "leicester", "region": "east-mids"}],
 "services": [{"name": "course-desk", "timeoutMs": 2000}]})";

TimePoint testDeadline()
{
    return SystemClock().now() + std::chrono::seconds(20);
}

ChangeAuthor makeAuthor(const std::string &name)
{
    return {name, "test", SystemClock().now()};
}

} // namespace

TEST_CASE("an invalid manifest is refused with the JSON pointer of every violation")
{
    const auto parsed = Manifest::parse(R"({"deployment": "x", "dataCentres": [{"name": 3,
        "region": "r"}], "services": [{"name": "s", "timeoutMs": 0}], "extra": 1})");
    REQUIRE_FALSE(parsed.ok());
    const std::string message = messageOf(parsed.status());
    CHECK(message.find("/dataCentres/0/name") != std::string::npos);
    CHECK(message.find("/services/0/timeoutMs") != std::string::npos);
    CHECK(message.find("extra") != std::string::npos);
    CHECK_FALSE(Manifest::parse("{").ok());
    CHECK_FALSE(Manifest::parse(R"({"deployment": "x", "dataCentres": [],
        "services": [{"name": "s"}, {"name": "s"}]})")
                    .ok());
}

TEST_CASE("the holder accepts only higher versions")
{
    const Manifest manifest = *Manifest::parse(validText);
    ManifestHolder holder;
    CHECK(holder.adopt(manifest.withVersion(2)));
    CHECK_FALSE(holder.adopt(manifest.withVersion(1)));
    CHECK_FALSE(*holder.adoptStored(manifest.withVersion(2).stored()));
    CHECK(*holder.adoptStored(manifest.withVersion(3).stored()));
    CHECK(holder.version() == 3);
    CHECK_FALSE(holder.adoptStored("{}").ok());
    CHECK_FALSE(*holder.adoptStored(""));
}

TEST_CASE("one of eight concurrent operators wins each version, also when responses are lost")
{
    FaultyTable table(11);
    table.setResponseLossRate(0.2);
    table.setRequestLossRate(0.1);
    const Manifest manifest = *Manifest::parse(validText);
    constexpr int operators = 8;
    constexpr int rounds = 100;
    std::array<std::atomic<int>, rounds + 1> winners{};
    std::atomic<int> losersWithoutConflict{0};
    std::vector<std::thread> threads;
    threads.reserve(operators);
    for (int index = 0; index < operators; ++index) {
        threads.emplace_back([&, index] {
            ManifestStore<FaultyTable> store(table);
            while (true) {
                const std::int64_t before = *store.latestVersion(testDeadline());
                if (before >= rounds)
                    return;
                const auto accepted = store.accept(
                    manifest, before, makeAuthor(std::to_string(index)), testDeadline());
                if (accepted.ok())
                    ++winners[static_cast<std::size_t>(accepted->version())];
                else if (kindOf(accepted.status()) != ErrorKind::Conflict)
                    ++losersWithoutConflict;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    for (std::size_t version = 1; version <= rounds; ++version)
        CHECK(winners[version].load() == 1);
    CHECK(losersWithoutConflict.load() == 0);
    ManifestStore<FaultyTable> store(table);
    CHECK(store.history(testDeadline())->size() == rounds);
    CHECK(table.inner().scan(auditPrefix, testDeadline())->size() == rounds);
}

TEST_CASE("accepting a manifest while the store is down returns StoreUnavailable")
{
    FaultyTable table;
    table.setDown(true);
    ManifestStore<FaultyTable> store(table);
    const auto refused =
        store.accept(*Manifest::parse(validText), 0, makeAuthor("ann"), testDeadline());
    REQUIRE_FALSE(refused.ok());
    CHECK(kindOf(refused.status()) == ErrorKind::StoreUnavailable);
}

TEST_CASE("conflicting changes of a data centre are refused and every change is audited")
{
    FaultyTable table;
    DataCentreStore<FaultyTable> store(table);
    const DataCentreName leicester("leicester");
    CHECK(store.change(leicester, true, makeAuthor("ann"), testDeadline())->change == 1);
    const auto again = store.change(leicester, true, makeAuthor("bob"), testDeadline());
    REQUIRE_FALSE(again.ok());
    CHECK(messageOf(again.status()).find("ann") != std::string::npos);
    CHECK(store.change(leicester, false, makeAuthor("bob"), testDeadline())->change == 2);
    CHECK_FALSE(store.states(testDeadline())->at(leicester).out);
    CHECK(table.inner().scan(auditPrefix, testDeadline())->size() == 2);
}

TEST_CASE("unknown settings are refused")
{
    const std::vector<const char *> arguments = {"program", "--check-settings", "--set", "listn=1"};
    const auto settings = readProgramSettings(static_cast<int>(arguments.size()), arguments.data(),
                                              "program", entrySchemaText);
    CHECK(settings.exitCode == 2);
}
