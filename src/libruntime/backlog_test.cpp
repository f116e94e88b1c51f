// Tests of the measured backlog and of the rejection of jobs against an in-memory store.
#include "lavenderarch/runtime/job_frontend.h"
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

BootTime deadlineIn(int milliseconds)
{
    return BootClock::now() + Milliseconds(milliseconds);
}

Status backlogFull()
{
    return withRetryAfter(makeError(ErrorKind::Overloaded, "backlog"), 4);
}

} // namespace

TEST_CASE("a job that is rejected for the backlog is not stored, and can be accepted later")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    const Status rejected = frontend.submit(job("a"), deadlineIn(2000), backlogFull());
    CHECK(kindOf(rejected) == ErrorKind::Overloaded);
    CHECK(retryAfterSeconds(rejected) == 4);
    CHECK(store.commits() == 0);
    CHECK(frontend.submit(job("a"), deadlineIn(2000)).ok());
    CHECK(store.commits() == 1);
}

TEST_CASE("a repeat of an accepted job is not rejected, whichever entry has accepted it")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    JobStateCache otherStates; // does not follow the store, so it does not know the job
    JobFrontend<MemoryRows> other(store, otherStates);
    CHECK(frontend.submit(job("a"), deadlineIn(2000)).ok());
    CHECK(frontend.submit(job("a"), deadlineIn(2000), backlogFull()).ok());
    CHECK(other.submit(job("a"), deadlineIn(2000), backlogFull()).ok());
    CHECK(store.commits() == 1);
}

TEST_CASE("jobs that have begun and timed jobs are not part of the backlog")
{
    JobStateCache states;
    const auto apply = [&](const RowWrite &write, std::int64_t version) {
        states.apply({write.key, write.value, version, false});
    };
    JobSpec timed = job("timed");
    timed.occurrences = 2;
    apply(cells::queuedWrite("svc", job("a")), 1);
    apply(cells::queuedWrite("svc", job("b")), 2);
    apply(cells::queuedWrite("svc", timed), 3);
    CHECK(states.backlogs().at("q") == QueueBacklog{2, 0});
    apply(cells::stateWrite("svc", job("a"), JobPhase::Running), 4);
    apply(cells::stateWrite("svc", job("a"), JobPhase::Done), 5);
    apply(cells::stateWrite("svc", timed, JobPhase::Running), 6);
    CHECK(states.backlogs().at("q") == QueueBacklog{1, 1});
    // A reload finds that the other job has begun.
    const RowWrite begun = cells::stateWrite("svc", job("b"), JobPhase::Running);
    states.replace({{begun.key, begun.value, 7, false}}, 7);
    CHECK(states.backlogs().at("q") == QueueBacklog{0, 2});
}

TEST_CASE("a queue whose jobs begin slowly rejects jobs, and an entry that is not current does not")
{
    MemoryRows store;
    JobStateCache states;
    JobFrontend<MemoryRows> frontend(store, states);
    QueuePolicy queue;
    queue.name = "q";
    queue.objectiveMs = 1000;
    std::int64_t version = 0;
    const auto apply = [&](const RowWrite &write) {
        frontend.applyState({write.key, write.value, ++version, false});
    };
    for (int index = 0; index < 60; ++index)
        apply(cells::queuedWrite("svc", job(std::to_string(index))));
    const BootTime start = BootClock::now();
    for (int index = 0; index < 20; ++index) { // five a second
        apply(cells::stateWrite("svc", job(std::to_string(index)), JobPhase::Running));
        frontend.observeBacklogs(start + Milliseconds(200) * index);
    }
    const BootTime last = start + Milliseconds(200 * 19);
    CHECK(retryAfterSeconds(frontend.admit(queue, job("new"), last)) == 5);
    CHECK(frontend.admit(queue, job("new"), last + Milliseconds(1501)).ok());
    queue.objectiveMs = 5000;
    CHECK(frontend.admit(queue, job("new"), last).ok());
}
