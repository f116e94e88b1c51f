// Tests of the bounded backlog: expected waits, admission, and overdue jobs.
#include "lavenderarch/dispatch/backlog_meter.h"
#include "lavenderarch/dispatch/job_admission.h"
#include "lavenderarch/dispatch/job_objective.h"
#include "simulated_cell.h"

#include <algorithm>

using namespace lavenderarch;
using lavenderarch::testing::SimulatedCell;

namespace {

StepSpec step(int count, std::int64_t estimateMs)
{
    StepSpec spec;
    spec.count = count;
    spec.demand = Resources(2000, 200, 0);
    spec.estimateMs = estimateMs;
    return spec;
}

JobSpec job(const std::string &id, int count = 1)
{
    JobSpec spec;
    spec.id = id;
    spec.attempts = 2;
    spec.steps = {step(count, 1000)};
    return spec;
}

/// Objective of job(): 400 ms plus 1.5 times 1000 ms; of use for 5700 ms.
QueuePolicy queue()
{
    QueuePolicy policy;
    policy.name = "q";
    policy.stretch = 1.5;
    policy.objectiveMs = 400;
    return policy;
}

BootTime at(int milliseconds)
{
    return BootTime(Milliseconds(1'000'000 + milliseconds));
}

} // namespace

TEST_CASE("the wait of a queue is its backlog over the rate at which its jobs begin")
{
    BacklogMeter meter;
    for (int time = 0; time <= 5000; time += 100) {
        // Ten jobs a second of "q", from 2000 ms on five.
        const std::int64_t begun = time <= 2000 ? time / 100 : 20 + (time - 2000) / 200;
        meter.observe({{"q", {40, begun}}, {"other", {0, 0}}}, at(time));
        if (time == 900)
            CHECK(meter.wait("q", at(time)) == std::nullopt);
        if (time == 1000)
            CHECK(meter.wait("q", at(time)) == Milliseconds(4000));
    }
    CHECK(meter.wait("q", at(5000)) == Milliseconds(8000));
    CHECK(meter.wait("other", at(5000)) == std::nullopt);
    CHECK(meter.wait("missing", at(5000)) == std::nullopt);
}

TEST_CASE("no wait is known from old observations, without jobs that begin, or without a backlog")
{
    const auto waitAfter = [](int lastBegin, int lastObservation, int idleAt, int now) {
        BacklogMeter meter;
        for (int time = 0; time <= lastObservation; time += 100)
            meter.observe({{"q", {time == idleAt ? 0 : 40, std::min(time, lastBegin) / 100}}},
                          at(time));
        return meter.wait("q", at(now)).has_value();
    };
    CHECK(waitAfter(5000, 5000, -1, 6500));
    CHECK_FALSE(waitAfter(5000, 5000, -1, 6501));
    CHECK(waitAfter(3000, 5000, -1, 5000));
    CHECK_FALSE(waitAfter(2900, 5000, -1, 5000));
    CHECK(waitAfter(5000, 5000, 4000, 5000));
    CHECK_FALSE(waitAfter(5000, 5000, 4100, 5000));
}

// While no process owned the cell, the rate fell and jobs were rejected.
TEST_CASE("a pause does not lower the rate at which jobs begin")
{
    BacklogMeter meter;
    for (int time = 0; time <= 5000; time += 100)
        meter.observe({{"q", {50, std::min(time, 4000) / 100}}}, at(time));
    CHECK(meter.wait("q", at(5000)) == Milliseconds(5000));
}

TEST_CASE("the critical path follows the dependencies of the steps")
{
    JobSpec spec = job("a");
    spec.steps = {step(4, 300), step(1, 900), step(2, 500)};
    spec.steps[2].after = {0};
    CHECK(criticalPath(spec) == Milliseconds(900));
    spec.steps[2].after = {0, 1};
    CHECK(criticalPath(spec) == Milliseconds(1400));
    CHECK(objective(queue(), spec) == Milliseconds(2500));
    CHECK(objective(QueuePolicy{}, spec) == std::nullopt);
}

TEST_CASE("a job is rejected when it would be done too late")
{
    const auto admit = [](int waitMs, const JobSpec &spec) {
        return admitJob(Milliseconds(waitMs), queue(), spec);
    };
    CHECK(admit(4700, job("a")).ok());
    const Status rejected = admit(7000, job("a"));
    REQUIRE_FALSE(rejected.ok());
    CHECK(kindOf(rejected) == ErrorKind::Overloaded);
    CHECK(retryAfterSeconds(rejected) == 3);
    CHECK(retryAfterSeconds(admit(4701, job("a"))) == 1);
    CHECK(retryAfterSeconds(admit(60'000, job("a"))) == 10);

    CHECK_MESSAGE(admitJob(std::nullopt, queue(), job("a")).ok(),
                  "a missing estimate rejects nothing");
    CHECK_MESSAGE(admitJob(Milliseconds(7000), {}, job("a")).ok(),
                  "a queue without an objective rejects nothing");
    JobSpec longRunning = job("a");
    longRunning.steps[0].longRunning = true;
    CHECK(admit(7000, longRunning).ok());
    JobSpec timed = job("a");
    timed.occurrences = 3;
    CHECK(admit(7000, timed).ok());
}

// With the least remaining work first, small jobs overtook a large one for as long as they arrived.
TEST_CASE("a large job is served while smaller ones keep arriving")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        SimulatedCell cell(seed, 2, {});
        // Four tasks at a time of 0.2 to 2.5 s; four a second arrive.
        for (int index = 0; index < 80; ++index) {
            cell.submit(job("small" + std::to_string(index)));
            if (index == 8)
                cell.submit(job("large", 8));
            cell.advance(Milliseconds(240));
        }
        CHECK(cell.phase("large") == JobPhase::Done);
    }
}

TEST_CASE("under overload the backlog is bounded")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        SimulatedCell cell(seed, 2, {});
        BacklogMeter meter;
        std::set<std::string> unfinished;
        int accepted = 0;
        std::size_t longest = 0;
        const auto observe = [&] {
            std::erase_if(unfinished,
                          [&](const std::string &id) { return cell.phase(id) == JobPhase::Done; });
            const auto waiting =
                std::count_if(unfinished.begin(), unfinished.end(), [&](const std::string &id) {
                    return cell.phase(id) == JobPhase::Queued;
                });
            longest = std::max(longest, unfinished.size());
            meter.observe({{"q", {waiting, accepted - waiting}}}, cell.now());
        };
        // About eight tasks a second arrive, three can be served.
        for (int index = 0; index < 270; ++index) {
            const JobSpec next = job("job" + std::to_string(index));
            if (admitJob(meter.wait("q", cell.now()), queue(), next).ok()) {
                cell.submit(next);
                unfinished.insert(next.id);
                ++accepted;
            }
            cell.advance(Milliseconds(120));
            observe();
        }
        // What is served in the time in which a job is of use, and what was let in before the
        // first estimate.
        CHECK(longest < 30);
        CHECK(accepted > 80);
        cell.advance(Milliseconds(20'000));
        observe();
        CHECK(unfinished.empty());
    }
}
