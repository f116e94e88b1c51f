// Tests of routing, admission control, attempt table, retry budget and key claims.
#include "lavenderarch/routing/admission_queue.h"
#include "lavenderarch/routing/attempt_table.h"
#include "lavenderarch/routing/key_claims.h"
#include "lavenderarch/routing/retry_budget.h"
#include "lavenderarch/routing/router.h"

#include "faulty_table.h"

#include <atomic>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lavenderarch;
using lavenderarch::testing::FaultyTable;
using Action = AdmissionDecision::Action;

namespace {

TimePoint at(std::int64_t ms)
{
    return fromEpochMs(1'000'000 + ms);
}

TimePoint testDeadline()
{
    return SystemClock().now() + std::chrono::seconds(20);
}

AdmissionRequest makeAdmissionRequest(int number, std::int64_t deadlineMs, bool critical = true)
{
    return {RequestId("r" + std::to_string(number)), critical, at(deadlineMs)};
}

std::vector<Announcement> makeEndpoints(int count)
{
    std::vector<Announcement> endpoints;
    for (int index = 0; index < count; ++index) {
        Announcement endpoint;
        endpoint.endpoint = EndpointId("m" + std::to_string(index));
        endpoint.dataCentre = DataCentreName(index < 2 ? "near" : index < 4 ? "region" : "far");
        endpoint.region = index < 4 ? "east" : "west";
        endpoint.slots = 2;
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

const RoutingQuery fromNear{DataCentreName("near"), "east", {}, {}};

} // namespace

TEST_CASE("seeded admission: slot limit holds, no expired request starts, every request is decided")
{
    const bool holds = rc::check("admission", [](const std::vector<std::uint8_t> &steps) {
        const AdmissionLimits limits{3, 5};
        AdmissionQueue queue(limits);
        std::map<RequestId, TimePoint> waiting;
        int running = 0;
        std::int64_t nowMs = 0;
        int number = 0;
        const auto applyDecisions = [&](const std::vector<AdmissionDecision> &decisions) {
            for (const AdmissionDecision &decision : decisions) {
                if (decision.action == Action::Wait)
                    continue;
                RC_ASSERT(waiting.count(decision.request) == 1);
                if (decision.action == Action::Start) {
                    RC_ASSERT(waiting[decision.request] > at(nowMs));
                    ++running;
                }
                waiting.erase(decision.request);
            }
        };
        for (const std::uint8_t step : steps) {
            nowMs += step % 7;
            if (step % 3 != 0) {
                const auto offered = makeAdmissionRequest(++number, nowMs + step, step % 2 == 0);
                waiting[offered.request] = offered.deadline;
                applyDecisions(queue.offer(offered, at(nowMs)));
            } else if (running > 0) {
                --running;
                applyDecisions(queue.finish(Milliseconds(step % 11), at(nowMs)));
            }
            applyDecisions(queue.expire(at(nowMs)));
            RC_ASSERT(running == queue.running());
            RC_ASSERT(running <= limits.slots);
            RC_ASSERT(queue.waiting() <= limits.maxWaiting);
            RC_ASSERT(static_cast<int>(waiting.size()) == queue.waiting());
        }
    });
    CHECK(holds);
}

TEST_CASE("a draining queue refuses new requests and finishes those that wait")
{
    AdmissionQueue queue({1, 4});
    CHECK(queue.offer(makeAdmissionRequest(1, 100), at(0))[0].action == Action::Start);
    CHECK(queue.offer(makeAdmissionRequest(2, 100), at(0))[0].action == Action::Wait);
    queue.drain();
    CHECK(queue.offer(makeAdmissionRequest(3, 100), at(0))[0].refusal == ErrorKind::Draining);
    CHECK(queue.finish(Milliseconds(5), at(5))[0] ==
          AdmissionDecision{RequestId("r2"), Action::Start, std::nullopt});
}

TEST_CASE("latency-critical requests displace waiting batch ones")
{
    AdmissionQueue queue({1, 1});
    queue.offer(makeAdmissionRequest(1, 1000), at(0));
    queue.offer(makeAdmissionRequest(2, 1000, false), at(0));
    const auto decisions = queue.offer(makeAdmissionRequest(3, 1000), at(0));
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].refusal == ErrorKind::Overloaded);
    CHECK(decisions[0].request == RequestId("r2"));
    CHECK(decisions[1].action == Action::Wait);
}

TEST_CASE("a request that cannot finish in time is refused at once")
{
    AdmissionQueue queue({1, 10});
    queue.offer(makeAdmissionRequest(1, 1000), at(0));
    queue.finish(Milliseconds(100), at(100));
    queue.offer(makeAdmissionRequest(2, 1000), at(100));
    CHECK(queue.offer(makeAdmissionRequest(3, 250), at(100))[0].refusal == ErrorKind::Overloaded);
    CHECK(queue.offer(makeAdmissionRequest(4, 500), at(100))[0].action == Action::Wait);
}

TEST_CASE("a resolved attempt can never start, a started one never starts twice")
{
    AttemptTable attempts;
    const RequestId early("early");
    CHECK(attempts.resolve(early, at(100)).fate == RequestFate::NotRun);
    CHECK(attempts.begin(early, at(100)) == AttemptTable::Begin::Forbidden);
    const RequestId run("run");
    CHECK(attempts.begin(run, at(100)) == AttemptTable::Begin::Started);
    CHECK(attempts.begin(run, at(100)) == AttemptTable::Begin::Duplicate);
    CHECK(attempts.resolve(run, at(100)).fate == RequestFate::Running);
    attempts.finish(run, {RequestFate::Done, true, 200, "text/plain", "ok"}, at(50));
    CHECK(attempts.resolve(run, at(100)).body == "ok");
    const RequestId refused("refused");
    attempts.begin(refused, at(100));
    attempts.cancel(refused);
    CHECK(attempts.resolve(refused, at(100)).fate == RequestFate::NotRun);
    CHECK(attempts.begin(refused, at(100)) == AttemptTable::Begin::Forbidden);
    attempts.prune(at(100'000));
    CHECK(attempts.size() == 3);
    attempts.prune(at(200'000));
    CHECK(attempts.size() == 0);
}

TEST_CASE("retries stay within a tenth of the first attempts plus the bucket capacity")
{
    RetryBudget budget(0.1, 10);
    int retries = 0;
    for (int attempt = 0; attempt < 1000; ++attempt) {
        budget.noteFirstAttempt();
        while (budget.tryRetry())
            ++retries;
    }
    CHECK(retries <= 101);
    CHECK(retries >= 95);
}

TEST_CASE("requests prefer the nearest tier, spill over when full and avoid excluded data centres")
{
    const auto endpoints = makeEndpoints(6);
    LoadTracker load;
    RandomEngine random(1);
    for (int round = 0; round < 20; ++round)
        CHECK(chooseEndpoint(endpoints, fromNear, load, random, at(0))->dataCentre ==
              DataCentreName("near"));
    for (int sent = 0; sent < 2; ++sent)
        load.noteSent(EndpointId("m0"), at(0));
    load.noteLoad(EndpointId("m1"), 2);
    CHECK(chooseEndpoint(endpoints, fromNear, load, random, at(0))->dataCentre ==
          DataCentreName("region"));
    RoutingQuery query = fromNear;
    query.excludedDataCentres = {DataCentreName("near"), DataCentreName("region")};
    CHECK(chooseEndpoint(endpoints, query, load, random, at(0))->dataCentre ==
          DataCentreName("far"));
    query.excludedDataCentres.insert(DataCentreName("far"));
    CHECK(chooseEndpoint(endpoints, query, load, random, at(0)) == nullptr);
}

TEST_CASE("an endpoint that fails is ejected, probed by one request, and returns")
{
    LoadTracker load;
    const EndpointId bad("bad");
    for (int failure = 0; failure < 3; ++failure) {
        load.noteSent(bad, at(0));
        load.noteResult(bad, AttemptResult::Failed, Milliseconds(10), 0, at(0));
    }
    CHECK_FALSE(load.isUsable(bad, at(100)));
    CHECK(load.isUsable(bad, at(600)));
    load.noteSent(bad, at(600));
    CHECK_FALSE(load.isUsable(bad, at(601)));
    load.noteResult(bad, AttemptResult::Failed, Milliseconds(10), 0, at(610));
    CHECK_FALSE(load.isUsable(bad, at(1500)));
    CHECK(load.isUsable(bad, at(1700)));
    load.noteSent(bad, at(1700));
    load.noteResult(bad, AttemptResult::Answered, Milliseconds(10), 0, at(1710));
    CHECK(load.isUsable(bad, at(1711)));
}

TEST_CASE("exactly one of many threads claims a key, also when store responses are lost")
{
    FaultyTable table(5);
    table.setResponseLossRate(0.2);
    table.setRequestLossRate(0.1);
    GroupCommitter<FaultyTable> committer(table);
    KeyClaims<FaultyTable> claims(table, committer);
    const ServiceName service("desk");
    constexpr int keys = 30;
    constexpr int claimants = 8;
    std::vector<std::atomic<int>> winners(keys);
    std::vector<std::thread> threads;
    threads.reserve(claimants);
    for (int claimant = 0; claimant < claimants; ++claimant) {
        threads.emplace_back([&, claimant] {
            for (std::size_t key = 0; key < keys; ++key) {
                ClaimRecord record;
                record.key = "key-" + std::to_string(key);
                record.attempt = RequestId(std::to_string(claimant));
                record.agent = Address("127.0.0.1", 9000);
                if (claims.replace(service, record, 0, testDeadline()).ok())
                    ++winners[key];
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    for (const auto &count : winners)
        CHECK(count.load() == 1);
    const auto claim = claims.find(service, "key-0", testDeadline());
    REQUIRE(claim.ok());
    CHECK(claim->rowVersion != 0);
    CHECK(committer.groups() > 0);
}
