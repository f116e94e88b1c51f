// Tests of the dispatcher and the agent's ledger, in isolation and in a simulated cell with seeded
// faults.
#include "seed_range.h"
#include "simulated_cell.h"
#include "simulated_seeds.h"

using namespace lavenderarch;
using lavenderarch::testing::CellFaults;
using lavenderarch::testing::plainStep;
using lavenderarch::testing::runSeed;
using lavenderarch::testing::runWithFaults;
using lavenderarch::testing::seedRange;
using lavenderarch::testing::SimulatedCell;
using lavenderarch::testing::twoSteps;

namespace {

JobSpec longRunningJob(const std::string &id)
{
    JobSpec job;
    job.id = id;
    job.steps = {plainStep(3, 700)};
    job.steps[0].longRunning = true;
    return job;
}

} // namespace

TEST_CASE("every task runs exactly once without faults")
{
    SimulatedCell cell(1, 4, {});
    cell.submit(twoSteps("a"));
    cell.submit(twoSteps("b"));
    cell.advance(Milliseconds(15'000));
    CHECK(cell.phase("a") == JobPhase::Done);
    CHECK(cell.phase("b") == JobPhase::Done);
    CHECK(cell.starts() == 16);
}

TEST_CASE("jobs complete while owners crash")
{
    runWithFaults({.ownerCrash = 300});
}
TEST_CASE("jobs complete while agents restart")
{
    runWithFaults({.agentRestart = 400});
}
TEST_CASE("jobs complete while minions crash")
{
    runWithFaults({.minionCrash = 500});
}
TEST_CASE("jobs complete while minions crash: regression seeds")
{
    // Seeds 18 and 28: an unanswered start reached the next incarnation of its minion, so that two
    // runs of the task were active. Seed 16: the next incarnation discarded an end that was not
    // stored yet.
    for (const std::uint64_t seed : {16, 18, 28})
        runSeed(seed, {.minionCrash = 500});
}
TEST_CASE("jobs complete while agents are cut off from the owner")
{
    runWithFaults({.agentPartition = 600});
}
TEST_CASE("jobs complete while start orders are delayed")
{
    runWithFaults({.delayedOrder = 8});
}
// A placed job was no longer counted as pending although no minion had started a task of it.
TEST_CASE("a job stays queued until a minion has started one of its tasks")
{
    SimulatedCell cell(13, 3, {.delayedOrder = 1});
    cell.submit(twoSteps("a"));
    cell.advance(Milliseconds(180));
    REQUIRE(cell.starts() == 0);
    CHECK(cell.owner().jobs().at("a").activeRuns() == 4);
    CHECK(cell.phase("a") == JobPhase::Queued);
    while (cell.starts() == 0)
        cell.advance(SimulatedCell::stepTime);
    // One poll of the agent and the delay until the phase is stored; callers may see it 2 s late.
    cell.advance(Milliseconds(1800));
    CHECK(cell.phase("a") == JobPhase::Running);
}
// A new owner that has not heard of a job's runs yet must not store it as queued again.
TEST_CASE("a job that has begun stays running for a new owner")
{
    SimulatedCell cell(14, 4, {});
    cell.submit(longRunningJob("watch"));
    cell.advance(Milliseconds(3000));
    CHECK(cell.phase("watch") == JobPhase::Running);
    cell.setFaults({.ownerCrash = 1});
    cell.advance(SimulatedCell::stepTime);
    cell.setFaults({.agentPartition = 1});
    cell.advance(Milliseconds(6000));
    CHECK(cell.phase("watch") == JobPhase::Running);
}
TEST_CASE("jobs complete while answers to commits are lost")
{
    runWithFaults({.lostCommit = 5});
}
TEST_CASE("jobs complete while messages of agents are lost or overtaken")
{
    runWithFaults({.lostMessage = 4, .lateMessage = 4});
}
TEST_CASE("cancelled jobs end")
{
    runWithFaults({.cancel = 60}, true);
}
TEST_CASE("cancelled jobs end while agents restart")
{
    runWithFaults({.agentRestart = 60, .cancel = 30}, true);
}
TEST_CASE("cancelled jobs end while owners crash and agents restart")
{
    runWithFaults({.ownerCrash = 150, .agentRestart = 60, .cancel = 20}, true);
}
TEST_CASE("the agent keeps a stop order until its minion has registered")
{
    RunLedger ledger("agent", "s");
    const BootTime now(Milliseconds(50'000));
    ExchangeReply reply;
    reply.epoch = 2;
    reply.grantMs = 5000;
    RunOrder stop;
    stop.sequence = 1;
    stop.kind = OrderKind::Stop;
    stop.run = {"a.0.0.0", 1};
    reply.orders = {stop};
    CHECK(ledger.applyReply(reply, now, now).empty());
    CHECK(ledger.snapshot(0).orderSeen == 0);
    ledger.updateFacts({{"m", 1}, "svc", "dc", {}, Resources(1000, 1000, 0), false, 0}, 1);
    reply.incarnation = {"m", 1};
    CHECK(ledger.applyReply(reply, now, now).size() == 1);
    CHECK(ledger.snapshot(0).orderSeen == 1);
}
TEST_CASE("runs of a crashed minion are placed again after one lease although its agent is alive")
{
    SimulatedCell cell(9, 3, {});
    cell.submit(longRunningJob("watch"));
    cell.advance(Milliseconds(1500));
    const std::size_t before = cell.activeRuns();
    std::size_t crashed = 0;
    while (cell.minion(crashed).active().empty())
        ++crashed;
    cell.crashPermanently(crashed);
    CHECK(cell.activeRuns() < before);
    // One lease of 5 s, the allowance for clock drift, the margin, and one poll.
    cell.advance(Milliseconds(6500));
    CHECK(cell.activeRuns() == before);
}
/// Faults of owners, agents, minions and commits together, without and with faults of messages.
const CellFaults allFaults{.ownerCrash = 500,
                           .agentRestart = 600,
                           .minionCrash = 700,
                           .agentPartition = 900,
                           .delayedOrder = 15,
                           .lostCommit = 8,
                           .cancel = 200};
const CellFaults allFaultsAndMessages{.ownerCrash = 500,
                                      .agentRestart = 600,
                                      .minionCrash = 700,
                                      .agentPartition = 900,
                                      .delayedOrder = 15,
                                      .lostCommit = 8,
                                      .lostMessage = 10,
                                      .lateMessage = 10,
                                      .cancel = 200};

TEST_CASE("jobs complete under all faults together")
{
    runWithFaults(allFaults, true);
    runWithFaults(allFaultsAndMessages, true);
}
TEST_CASE("jobs complete under all faults together: regression seeds")
{
    // In all of them renewals in the clock of the minion's former incarnation reached the next one,
    // whose lease outlived what the owner assumed. Seeds 72 and 1301: a run went on there while the
    // task ran elsewhere. Seeds 1560 and 3685: an end that the owner had given up was acknowledged
    // without a lapse of the lease in between, and the task started again.
    for (const std::uint64_t seed : {72, 1301, 1560, 3685}) {
        runSeed(seed, allFaults, true);
        runSeed(seed, allFaultsAndMessages, true);
    }
}

TEST_CASE("a task that always fails fails its job after the allowed attempts")
{
    SimulatedCell cell(3, 4, {});
    cell.failingTasks.insert("bad.0.0.1");
    cell.submit(twoSteps("bad"));
    cell.submit(twoSteps("good"));
    cell.advance(Milliseconds(20'000));
    CHECK(cell.phase("bad") == JobPhase::Failed);
    CHECK(cell.phase("good") == JobPhase::Done);
    CHECK(cell.activeRuns() == 0);
}

TEST_CASE("cancelling a long-running job stops its runs after a change of owner")
{
    // A new owner may order the stop before an agent's first message; it must still reach the
    // agent.
    SimulatedCell cell(4, 4, {});
    cell.submit(longRunningJob("watch"));
    cell.advance(Milliseconds(1500));
    CHECK(cell.activeRuns() > 0);
    cell.setFaults({.ownerCrash = 1});
    cell.advance(SimulatedCell::stepTime);
    cell.setFaults({});
    cell.cancel("watch");
    cell.advance(Milliseconds(6000));
    CHECK(cell.phase("watch") == JobPhase::Cancelled);
    CHECK(cell.activeRuns() == 0);
}

TEST_CASE("cancelling a long-running job stops its runs")
{
    SimulatedCell cell(10, 4, {});
    cell.submit(longRunningJob("watch"));
    cell.advance(Milliseconds(1500));
    CHECK(cell.activeRuns() == 3);
    cell.cancel("watch");
    // Time for one poll and the stop itself; the platform allows 3 s.
    cell.advance(Milliseconds(1500));
    CHECK(cell.activeRuns() == 0);
}

TEST_CASE("a closed data centre gets no new run")
{
    SimulatedCell cell(5, 4, {});
    cell.owner().setClosedDataCentres({"dc-a"});
    cell.submit(twoSteps("a"));
    cell.advance(Milliseconds(180));
    CHECK(cell.minion(0).active().empty());
    CHECK(cell.minion(2).active().empty());
    CHECK(cell.activeRuns() == 4);
}

TEST_CASE("placement respects required labels and maxPerMinion")
{
    SimulatedCell cell(6, 4, {});
    JobSpec job = twoSteps("a", 4);
    job.steps[0].maxPerMinion = 1;
    cell.submit(job);
    JobSpec labelled = twoSteps("b", 2);
    labelled.steps[0].requiredLabel = "r1";
    cell.submit(labelled);
    cell.advance(Milliseconds(180));
    for (std::size_t index = 0; index < 4; ++index) {
        int same = 0;
        for (const auto &[task, run] : cell.minion(index).active()) {
            same += task.rfind("a.", 0) == 0 ? 1 : 0;
            const bool misplaced = index < 3 && task.rfind("b.", 0) == 0;
            CHECK_FALSE(misplaced);
        }
        CHECK(same <= 1);
    }
}

TEST_CASE("prepareCommit places tasks only if mayPlace is true")
{
    const BootTime now(Milliseconds(50'000));
    CellDispatcher owner("svc", {}, 1);
    auto catalog = std::make_shared<QueueCatalog>();
    catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
    owner.setCatalog(catalog);
    ExchangeRequest request;
    request.agent = "agent";
    request.session = "s";
    request.number = 1;
    request.epoch = 1;
    request.registered = request.reachable = true;
    request.facts = {{"m", 1}, "svc", "dc", {}, Resources(4000, 8000, 0), false, 0};
    owner.handleRequest(request, now, true);
    JobSpec job = twoSteps("a");
    job.service = "svc";
    const RowWrite write = cells::jobWrite("svc", job);
    owner.applyJobRow({write.key, write.value, 1, false}, now);
    CHECK_FALSE(owner.prepareCommit(now, false));
    REQUIRE(owner.prepareCommit(now, true));
    owner.commitApplied(now);
    CHECK(owner.hasOrders("agent"));
}

TEST_CASE("all members of a gang start together, with one run number")
{
    SimulatedCell cell(7, 4, {});
    JobSpec job = twoSteps("g", 4);
    job.steps[0].gang = true;
    cell.submit(job);
    cell.advance(Milliseconds(180));
    CHECK(cell.activeRuns() == 4);
    for (std::size_t index = 0; index < 4; ++index) {
        for (const auto &[task, run] : cell.minion(index).active())
            CHECK(run.run == 1);
    }
}

TEST_CASE("an occurrence starts when it is due, not before")
{
    SimulatedCell cell(8, 3, {});
    JobSpec job = twoSteps("t", 1);
    job.occurrences = 2;
    job.firstDueMs = 1'002'000;
    job.intervalMs = 5000;
    cell.submit(job);
    cell.advance(Milliseconds(1900));
    CHECK(cell.starts() == 0);
    cell.advance(Milliseconds(400));
    CHECK(cell.starts() == 1);
    cell.advance(Milliseconds(20'000));
    CHECK(cell.starts() == 4);
    CHECK(cell.phase("t") == JobPhase::Done);
}

TEST_CASE("stored progress keeps its form, which other versions read")
{
    JobModel job(twoSteps("j", 3));
    job.find({"j", 0, 0, 0})->phase = TaskPhase::Done;
    TaskState &task = *job.find({"j", 0, 0, 1});
    task.phase = TaskPhase::Stopping;
    task.run = 4;
    task.failures = 1;
    task.checkpoint = "c\"\n\xc3\xa9";
    task.agent = "agent-1";
    task.incarnation = {"m1", 77};
    job.find({"j", 0, 1, 2})->run = 2;
    CHECK(Json::parse(job.progressText()) == Json::parse(R"({"phase":"queued","tasks":{"0":[
              [1,[1,4,1,"c\"\n\u00e9","agent-1","m1",77],0],[0,0,[0,2,0,""]]]}})"));
}

TEST_CASE("job progress survives a round trip through its stored form")
{
    JobModel job(twoSteps("j", 3));
    TaskState *task = job.find({"j", 0, 0, 1});
    REQUIRE(task != nullptr);
    task->phase = TaskPhase::Placed;
    task->run = 4;
    task->failures = 1;
    task->agent = "agent-1";
    task->incarnation = {"m1", 77};
    task->checkpoint = "c";
    job.find({"j", 0, 0, 0})->phase = TaskPhase::Done;
    job.refresh();
    JobModel read(twoSteps("j", 3));
    REQUIRE(read.loadProgress(job.progressText()).ok());
    CHECK(read.phase() == JobPhase::Running);
    CHECK(read.activeRuns() == 1);
    CHECK(read.find({"j", 0, 0, 0})->phase == TaskPhase::Done);
    CHECK(read.find({"j", 0, 0, 1})->incarnation == MinionIncarnation{"m1", 77});
    CHECK(read.find({"j", 0, 0, 1})->run == 4);
    CHECK_FALSE(read.loadProgress("{\"phase\": 7, \"tasks\": []}").ok());
}

TEST_CASE("validateJob names the invalid field")
{
    JobSpec job = twoSteps("j");
    job.steps[1].after = {1};
    CHECK(messageOf(validateJob(job)) == "steps[1].after must name earlier steps");
    job.steps.clear();
    CHECK(messageOf(validateJob(job)) == "steps must not be empty");
}

TEST_CASE("task names are parsed and formatted")
{
    CHECK(TaskName::parse("ab.0.1.17") == TaskName{"ab", 0, 1, 17});
    CHECK(TaskName{"ab", 2, 1, 17}.text() == "ab.2.1.17");
    for (const char *bad : {"", "ab", "ab.1", "ab.1.2", "ab.x.1.2", ".1.2.3", "ab.1.2.3x"})
        CHECK_FALSE(TaskName::parse(bad));
}

TEST_CASE("a listing requested in the millisecond of a start's confirmation does not end the run")
{
    RunLedger ledger("agent", "s");
    const BootTime now(Milliseconds(50'000));
    ledger.updateFacts({{"m", 1}, "svc", "dc", {}, Resources(1000, 1000, 0), false, 0}, 1);
    ExchangeReply reply;
    reply.epoch = 1;
    reply.incarnation = {"m", 1};
    reply.grantMs = 5000;
    reply.orders.emplace_back();
    reply.orders[0].sequence = 1;
    reply.orders[0].run = {"a.0.0.0", 1};
    ledger.applyReply(reply, now, now);
    ledger.startConfirmed({"a.0.0.0", 1}, now);
    MinionListing listing;
    listing.bornMs = 1;
    ledger.applyListing(listing, 1, now, now + Milliseconds(1));
    CHECK(ledger.runs().count({"a.0.0.0", 1}) == 1);
    ledger.applyListing(listing, 1, now + Milliseconds(1), now + Milliseconds(2));
    CHECK(ledger.runs().empty());
}

TEST_CASE("a repeated stop of an ended run is executed once and then removed")
{
    RunLedger ledger("agent", "s");
    const BootTime now(Milliseconds(50'000));
    ledger.updateFacts({{"m", 1}, "svc", "dc", {}, Resources(1000, 1000, 0), false, 0}, 1);
    ExchangeReply reply;
    reply.epoch = 1;
    reply.incarnation = {"m", 1};
    RunOrder stop;
    stop.kind = OrderKind::Stop;
    stop.run = {"a.0.0.0", 1};
    stop.sequence = 1;
    reply.orders = {stop};
    CHECK(ledger.applyReply(reply, now, now).size() == 1);
    ledger.stopConfirmed(stop.run, now);
    reply.orders[0].sequence = 2;
    CHECK(ledger.applyReply(reply, now, now).empty());
    ledger.stopConfirmed(stop.run, now + Milliseconds(20));
    MinionListing listing;
    listing.bornMs = 1;
    ledger.applyListing(listing, 1, now + Milliseconds(10), now + Milliseconds(20));
    CHECK(ledger.runs().empty());
}
