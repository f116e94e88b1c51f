// Tests of cancellations of jobs whose acceptance has an unknown outcome.
#include "lavenderarch/runtime/job_frontend.h"
#include "memory_rows.h"
#include "plain_job.h"
#include "waits.h"

#include <doctest/doctest.h>
#include <future>

using namespace lavenderarch;
using lavenderarch::testing::deadlineIn;
using lavenderarch::testing::job;
using lavenderarch::testing::MemoryRows;

namespace {

bool isStored(MemoryRows &store, const RowKey &key)
{
    return store.readOne(key, deadlineIn(1000))->version != 0;
}

} // namespace

// The store carried out the acceptance after the caller had been told that there is no such job,
// and the job ran.
TEST_CASE("a job that was cancelled as unknown is never accepted by a call without an answer")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    store.setFault(MemoryRows::Fault::Delay);
    CHECK(kindOf(frontend.submit(job("a"), deadlineIn(200))) == ErrorKind::OutcomeUnknown);
    store.setFault(MemoryRows::Fault::None);
    CHECK(kindOf(frontend.cancel("svc", "a", deadlineIn(2000))) == ErrorKind::NotFound);
    store.carryOutDelayed();
    CHECK_FALSE(isStored(store, cells::jobKey("svc", "a")));
    CHECK(kindOf(frontend.phase("svc", "a", deadlineIn(2000)).status()) == ErrorKind::NotFound);
}

// Guards against a request that arrives seconds after the caller has cancelled its job, and against
// a batch that waits for such a job.
TEST_CASE("a late submission of a job that was cancelled as unknown is rejected at once")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    CHECK(kindOf(frontend.cancel("svc", "a", deadlineIn(2000))) == ErrorKind::NotFound);
    CHECK(kindOf(frontend.submit(job("a"), deadlineIn(5000))) == ErrorKind::Conflict);
    CHECK(frontend.submit(job("b"), deadlineIn(5000)).ok());
    CHECK_FALSE(isStored(store, cells::jobKey("svc", "a")));
}

TEST_CASE("a job that is accepted while it is cancelled as unknown is cancelled")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    store.holdCommits(cells::cancelKey("svc", "a"));
    auto cancelled = std::async(std::launch::async,
                                [&] { return frontend.cancel("svc", "a", deadlineIn(10'000)); });
    const auto ended = [&] {
        return cancelled.wait_for(Milliseconds(1)) == std::future_status::ready;
    };
    while (store.heldCommits() == 0 && !ended()) {
    }
    CHECK(frontend.submit(job("a"), deadlineIn(5000)).ok());
    store.letCommitsGo();
    CHECK(cancelled.get().ok());
    CHECK(isStored(store, cells::cancelKey("svc", "a")));
}

TEST_CASE("a repeated submission of a job that was cancelled after its acceptance finds the job")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    CHECK(frontend.submit(job("a"), deadlineIn(5000)).ok());
    CHECK(frontend.cancel("svc", "a", deadlineIn(2000)).ok());
    CHECK(frontend.submit(job("a"), deadlineIn(5000)).ok());
}

// Without its answer the caller must not be told that there will be no such job.
TEST_CASE("an unknown job's cancellation that is not confirmed has an unknown outcome")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    store.setFault(MemoryRows::Fault::Delay);
    CHECK(kindOf(frontend.cancel("svc", "a", deadlineIn(200))) == ErrorKind::OutcomeUnknown);
    store.setFault(MemoryRows::Fault::Refuse);
    CHECK(kindOf(frontend.cancel("svc", "a", deadlineIn(200))) == ErrorKind::StoreUnavailable);
}
