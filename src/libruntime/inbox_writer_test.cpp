// Tests of the writes that an owner makes to the rows of ended jobs.
#include "lavenderarch/runtime/inbox_writer.h"
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

/// Waits up to ten seconds until the row has the value.
bool becomes(MemoryRows &store, const RowWrite &write)
{
    for (int turn = 0; turn < 1000; ++turn) {
        const auto row = store.readOne(write.key, BootClock::now() + Milliseconds(1000));
        if (write.remove ? row->version == 0 : row->value == write.value)
            return true;
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
}

} // namespace

// A write that failed was dropped. The row of a done job kept its specification then, and an owner
// that loaded the cell after the job's progress had expired ran the job again.
TEST_CASE("the row of an ended job is rewritten although the store refuses the first attempt")
{
    MemoryRows store;
    const JobSpec spec = job("a");
    REQUIRE(
        store.commit({{}, {cells::jobWrite("svc", spec)}}, BootClock::now() + Milliseconds(1000))
            .ok());
    InboxWriter<MemoryRows> writer(store, "svc");
    for (const auto fault : {MemoryRows::Fault::Refuse, MemoryRows::Fault::Delay}) {
        store.setFault(fault);
        writer.add({cells::settledJobWrite("svc", "a")});
        const int before = store.attempts();
        while (store.attempts() == before)
            std::this_thread::sleep_for(Milliseconds(1));
        store.setFault(MemoryRows::Fault::None);
        CHECK(becomes(store, cells::settledJobWrite("svc", "a")));
        writer.add({cells::removal(cells::jobKey("svc", "a"))});
        CHECK(becomes(store, cells::removal(cells::jobKey("svc", "a"))));
    }
}
