// Tests of the cell's owner and the agent with rows and listings of another writer.
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/queue_catalog.h"
#include "lavenderarch/dispatch/run_ledger.h"
#include "plain_job.h"

#include <doctest/doctest.h>
#include <set>

using namespace lavenderarch;
using lavenderarch::testing::job;

namespace {

constexpr BootTime now{Milliseconds(10'000)};

Row rowOf(const JobSpec &spec, std::int64_t version = 1)
{
    return {cells::jobKey("svc", spec.id), jsonText(spec), version, false};
}

/// The job row with the value at `path` replaced.
Row changedRow(const std::string &path, const Json &value)
{
    Json spec = job("odd");
    spec[Json::json_pointer(path)] = value;
    return {cells::jobKey("svc", "odd"), jsonText(spec), 1, false};
}

MinionFacts factsOf(const std::string &id, std::int64_t bornMs)
{
    MinionFacts facts;
    facts.incarnation = {id, bornMs};
    facts.service = "svc";
    facts.capacity = Resources(40'000, 80'000, 0);
    return facts;
}

ExchangeRequest snapshotOf(std::int64_t number)
{
    ExchangeRequest request;
    request.agent = "agent";
    request.session = "s";
    request.number = number;
    request.epoch = 1;
    request.registered = request.listed = request.reachable = true;
    request.facts = factsOf("m", 1);
    return request;
}

std::shared_ptr<const QueueCatalog> catalog()
{
    auto catalog = std::make_shared<QueueCatalog>();
    catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
    catalog->services.insert("svc");
    return catalog;
}

/// The job of each start order.
std::multiset<std::string> startedJobs(CellDispatcher &owner)
{
    owner.setCatalog(catalog());
    owner.handleRequest(snapshotOf(1), now, true);
    while (owner.prepareCommit(now))
        owner.commitApplied(now);
    std::multiset<std::string> jobs;
    for (const RunOrder &order : owner.reply("agent", now, true).orders)
        jobs.insert(TaskName::parse(order.run.task)->job);
    return jobs;
}

MinionListing listingOf(std::int64_t bornMs, const std::vector<RunKey> &runs = {})
{
    MinionListing listing;
    listing.clockMs = 1000;
    listing.bornMs = bornMs;
    for (const RunKey &run : runs)
        listing.active.push_back({run, "", 0, 0});
    return listing;
}

} // namespace

// A row whose id is not its key was kept under two names; numbers overflowed in sums.
TEST_CASE("odd job rows are left out and the other jobs start")
{
    std::vector<Row> odd = {changedRow("/id", "other"),
                            changedRow("/id", "a"), // the tasks of "a" were started twice
                            changedRow("/id", ""),
                            changedRow("/id", 7),
                            changedRow("/steps/0/count", 4294967297),
                            changedRow("/steps/0/count", 2147483647),
                            changedRow("/steps/0/count", -1),
                            changedRow("/steps/0/estimateMs", 1e300),
                            changedRow("/steps/0/estimateMs", 9223372036854775807),
                            changedRow("/steps/0/demand/milliCores", 9223372036854775807),
                            changedRow("/steps/0/after", {0}),
                            changedRow("/steps", Json::array()),
                            changedRow("/steps", 7),
                            changedRow("/occurrences", 2147483647),
                            changedRow("/occurrences", -1),
                            changedRow("/firstDueMs", 9223372036854775807),
                            changedRow("/intervalMs", 9223372036854775807),
                            changedRow("/priority", 1e300)};
    for (const char *value : {"", "7", "[]", "null", "\xff", "{\"steps\":[]}"})
        odd.push_back({cells::jobKey("svc", "odd"), value, 1, false});
    odd.push_back({cells::jobKey("svc", "odd"), std::string(2'000'000, '['), 1, false});
    odd.push_back({cells::cancelKey("svc", "none"), "\xff", 1, false});
    for (const Row &row : odd) {
        CAPTURE(row.value.substr(0, 300));
        CellDispatcher loaded("svc", DispatchLimits{}, 1);
        loaded.load({rowOf(job("a")), row, rowOf(job("z"))}, {}, now);
        CHECK(startedJobs(loaded) == std::multiset<std::string>{"a", "z"});
        CellDispatcher following("svc", DispatchLimits{}, 1);
        for (const Row &next : {rowOf(job("a")), row, rowOf(job("z"))})
            following.applyJobRow(next, now);
        following.tick(now, 1'000'000);
        CHECK(startedJobs(following) == std::multiset<std::string>{"a", "z"});
    }
}

TEST_CASE("a job with many occurrences of the past keeps the cell within its memory")
{
    JobSpec spec = job("many");
    spec.occurrences = 1'000'000;
    spec.steps[0].count = 100;
    CellDispatcher owner("svc", DispatchLimits{}, 1);
    owner.load({rowOf(spec), rowOf(job("a"))}, {}, now);
    owner.tick(now, 1'000'000);
    CHECK(startedJobs(owner).count("a") == 1);
    JobModel model(spec);
    CHECK(model.addDueOccurrences(1'000'000));
    CHECK(model.occurrences().size() <= 400);
}

// A row that was read half had replaced part of the job's state.
TEST_CASE("an odd progress row changes nothing of the job")
{
    for (const char *text :
         {"", "7", "[]", "{}", "\xff", R"({"phase":"melted"})", R"({"phase":7})",
          R"({"phase":"done","tasks":{"0":[[2]]}})", R"({"phase":"done","tasks":{"0":[]}})",
          R"({"phase":"done","tasks":{"0":[["x"]]}})", R"({"phase":"done","tasks":{"x":[[1]]}})",
          R"({"phase":"done","tasks":{"-1":[[1]]}})", R"({"phase":"done","tasks":{"7":[[1]]}})",
          R"({"phase":"done","tasks":{"99999999999":[[1]]}})",
          R"({"phase":"done","tasks":{"0":[[[1,4294967297,0,"","a","m",1]]]}})",
          R"({"phase":"done","tasks":{"0":[[[1,-1,0,"","a","m",1]]]}})",
          R"({"phase":"done","tasks":{"0":[[[0,1e300,0,""]]]}})",
          R"({"phase":"done","tasks":{"0":[[[1,1,0,"","a","m"]]]}})"}) {
        CAPTURE(text);
        JobModel model(job("j"));
        const std::string before = model.progressText();
        CHECK_FALSE(model.loadProgress(text).ok());
        CHECK(model.progressText() == before);
        CHECK_FALSE(JobModel::isSettled(text));
    }
    JobModel model(job("j"));
    CHECK(
        model.loadProgress(R"({"phase":"running","tasks":{"0":[[[1,3,0,"c","a","m",1]]]}})").ok());
    CHECK(model.activeRuns() == 1);
}

TEST_CASE("an odd tail model stays within its limits or is not loaded")
{
    TailModel model;
    for (const char *text : {"", "7", "{}", R"({"weights":7})", R"({"weights":[7]})",
                             R"({"weights":[["a","b"]]})", R"({"weights":[["a",7,1,1]]})"})
        CHECK_FALSE(model.load(text));
    REQUIRE(model.load(R"({"weights":[["a","b",1e300,-1e300],["c","d",-5,1e18]]})"));
    CHECK(model.weight("a", "b") <= 100);
    CHECK(model.weight("c", "d") >= 0);
    TailModel copy;
    CHECK(copy.load(model.text()));
    model.setWeight({"a", "b", 1e300});
    CHECK(model.weight("a", "b") <= 100);
}

// A run in a row that could not be read counted as ended and was placed again while it ran.
TEST_CASE("no run is missing from a listing with a row that cannot be read")
{
    const RunKey run{"j.0.0.0", 1};
    RunLedger ledger("agent", "s");
    ledger.updateFacts(factsOf("m", 5), 1);
    ledger.applyListing(listingOf(5, {run}), 0, now, now);
    REQUIRE(ledger.runs().count(run) == 1);
    ledger.stopConfirmed(run, now);
    MinionListing partial = listingOf(5);
    partial.complete = false;
    const BootTime later = now + Milliseconds(1000);
    ledger.applyListing(partial, 0, later, later);
    CHECK(ledger.runs().count(run) == 1);
    CHECK(ledger.snapshot(0).ends.empty());
    ledger.applyListing(listingOf(5), 0, later, later);
    CHECK(ledger.runs().count(run) == 0);
    CHECK(ledger.snapshot(0).ends.size() == 1);
}

// Guards against an owner that keeps something for each agent that a message names.
TEST_CASE("an owner knows a limited number of agents")
{
    DispatchLimits limits;
    limits.maxAgents = 3;
    CellDispatcher owner("svc", limits, 1);
    owner.setCatalog(catalog());
    const auto hear = [&](const std::string &agent, bool registered) {
        ExchangeRequest request = snapshotOf(1);
        request.agent = agent;
        request.registered = registered;
        request.facts.incarnation.id = "minion-of-" + agent;
        const bool admitted = owner.admitAgent(agent);
        if (admitted)
            owner.handleRequest(request, now, true);
        return admitted;
    };
    CHECK(hear("a", true));
    CHECK(hear("b", true));
    CHECK(hear("invented-0", false));
    CHECK(hear("invented-1", false)); // in place of the other one
    CHECK(hear("c", true));
    CHECK_FALSE(hear("d", true)); // the others have minions
    CHECK(hear("a", true));
}
