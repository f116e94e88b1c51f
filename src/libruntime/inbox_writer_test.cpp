// Tests of the writes that an owner makes to the rows of ended jobs.
#include "lavenderarch/runtime/inbox_writer.h"
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

/// True once the row has the value.
bool becomes(MemoryRows &store, const RowWrite &write)
{
    return eventually([&] {
        const auto row = store.readOne(write.key, deadlineIn(1000));
        return write.remove ? row->version == 0 : row->value == write.value;
    });
}

} // namespace

// A write that failed was dropped. The row of a done job kept its specification then, and an owner
// that loaded the cell after the job's progress had expired ran the job again.
TEST_CASE("the row of an ended job is rewritten although the store refuses the first attempt")
{
    MemoryRows store;
    const JobSpec spec = job("a");
    REQUIRE(store.commit({{}, {cells::jobWrite("svc", spec)}}, deadlineIn(1000)).ok());
    InboxWriter<MemoryRows> writer(store, "svc");
    for (const auto fault : {MemoryRows::Fault::Refuse, MemoryRows::Fault::Delay}) {
        store.setFault(fault);
        const int before = store.attempts();
        writer.add({cells::settledJobWrite("svc", "a")});
        while (store.attempts() == before)
            std::this_thread::sleep_for(Milliseconds(1));
        store.setFault(MemoryRows::Fault::None);
        CHECK(becomes(store, cells::settledJobWrite("svc", "a")));
        writer.add({cells::removal(cells::jobKey("svc", "a"))});
        CHECK(becomes(store, cells::removal(cells::jobKey("svc", "a"))));
    }
}
