// Tests of reading a partition page by page over a link on which pages take long.
#include "lavenderarch/storage/read_partition.h"
#include "memory_rows.h"

#include <doctest/doctest.h>

using namespace lavenderarch;
using lavenderarch::testing::MemoryRows;

namespace {

/// Pages arrive whole only with a timeout of `transferTime` or more.
class SlowPages : public MemoryRows
{
public:
    StatusOr<RowPage> readPage(const std::string &table, const std::string &partition,
                               const std::string &from, BootTime deadline)
    {
        if (deadline - BootClock::now() < transferTime)
            return makeError(ErrorKind::CorruptedAnswer, "response ended after 1 of 2 bytes");
        return MemoryRows::readPage(table, partition, from, deadline);
    }

private:
    static constexpr Milliseconds transferTime = pageTimeout * 3;
};

} // namespace

// Guards against a page that is read again and again with a timeout in which it cannot arrive.
TEST_CASE("a page of which only a part arrives is read again with a longer timeout")
{
    SlowPages store;
    for (const char *key : {"a", "b", "c", "d", "e"})
        REQUIRE(store.commit({{}, {{{"t", "p", key}, "v", false}}}, BootClock::now()).ok());
    const auto rows = readPartition(store, "t", "p", BootClock::now() + pageTimeout * 10, {});
    REQUIRE(rows.ok());
    CHECK(rows->rows.size() == 5);
}
