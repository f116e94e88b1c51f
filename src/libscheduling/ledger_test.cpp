// Tests of the cell ledger, fair order, interference model and mitigation, size estimates and
// worker health.
#include "lavenderarch/scheduling/adaptive_policy.h"
#include "lavenderarch/scheduling/cell_ledger.h"
#include "lavenderarch/scheduling/fair_order.h"
#include "lavenderarch/scheduling/worker_health.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

const WorkerId worker1("w1");

LedgerTask makeTask(const std::string &id, const std::string &customer = "c",
                    std::int64_t queuedAtMs = 0)
{
    LedgerTask task;
    task.id = TaskId(id);
    task.spec.job = JobKey("job-" + customer);
    task.spec.customer = CustomerName(customer);
    task.spec.workClass = "batch";
    task.spec.resources = Resources(1000, 1000, 0);
    task.spec.voucherCost = 3;
    task.queuedAt = fromEpochMs(queuedAtMs);
    return task;
}

LedgerChange change(ChangeKind kind, const std::string &task, std::int64_t incarnation)
{
    LedgerChange change;
    change.kind = kind;
    change.task = TaskId(task);
    change.incarnation = incarnation;
    change.worker = worker1;
    change.reserved = Resources(1000, 1000, 0);
    return change;
}

CellLedger makeLedger()
{
    CellLedger ledger;
    LedgerChange workers;
    workers.kind = ChangeKind::WorkersChanged;
    workers.workers = {{worker1, DataCentreName("leicester"), "r1", Resources(2000, 4000, 0)}};
    ledger.apply(workers);
    LedgerChange added;
    added.tasks = {makeTask("t1"), makeTask("t2"), makeTask("t3")};
    ledger.apply(added);
    return ledger;
}

Manifest makeManifest()
{
    return *Manifest::parse(R"({"deployment": "d", "dataCentres": [], "services": [],
        "customers": [{"name": "a", "share": 3}, {"name": "b", "share": 1, "maxRunningTasks": 2}]})");
}

} // namespace

TEST_CASE("a ledger follows a task through placement, eviction, resumption and end")
{
    CellLedger ledger = makeLedger();
    ledger.apply(change(ChangeKind::TaskPlaced, "t1", 1));
    CHECK(ledger.workers().at(worker1).used == Resources(1000, 1000, 0));
    LedgerChange evicted = change(ChangeKind::TaskRequeued, "t1", 1);
    evicted.progress = 0.4;
    ledger.apply(evicted);
    CHECK(ledger.findTask(TaskId("t1"))->progress == 0.4);
    ledger.apply(change(ChangeKind::TaskPlaced, "t1", 2));
    ledger.apply(change(ChangeKind::TaskDone, "t1", 2));
    CHECK(ledger.findTask(TaskId("t1")) == nullptr);
    CHECK(ledger.workers().at(worker1).used == Resources());
    LedgerChange cancelled = change(ChangeKind::TaskCancelled, "t2", 0);
    ledger.apply(cancelled);
    const JobProgress &job = ledger.jobs().at(JobKey("job-c"));
    CHECK(job.done == 1);
    CHECK(job.refund == 3);
    CHECK(job.unfinished() == 1);
}

TEST_CASE("a snapshot restores the same ledger, and a change survives serialisation")
{
    CellLedger ledger = makeLedger();
    ledger.apply(change(ChangeKind::TaskPlaced, "t1", 1));
    const auto restored = CellLedger::restore(ledger.snapshot());
    REQUIRE(restored.ok());
    CHECK(*restored == ledger);
    const LedgerChange placed = change(ChangeKind::TaskPlaced, "t2", 1);
    const LedgerChange read = Json::parse(Json(placed).dump()).get<LedgerChange>();
    CHECK(read == placed);
    CHECK_FALSE(CellLedger::restore(Json::object()).ok());
}

TEST_CASE("customers are served by share and limited by their quota")
{
    CellLedger ledger;
    LedgerChange added;
    for (int index = 0; index < 10; ++index) {
        added.tasks.push_back(makeTask("a" + std::to_string(index), "a", index));
        added.tasks.push_back(makeTask("b" + std::to_string(index), "b", index));
    }
    ledger.apply(added);
    int countOfB = 0;
    const auto order = fairOrder(ledger, makeManifest(), 1, 8);
    REQUIRE(order.size() == 8);
    for (const LedgerTask *task : order)
        countOfB += task->spec.customer == CustomerName("b") ? 1 : 0;
    CHECK(countOfB == 2);
    CHECK(fairOrder(ledger, makeManifest(), 1, 100).size() == 12);
}

TEST_CASE("urgent tasks go first")
{
    CellLedger ledger;
    LedgerChange added;
    added.tasks = {makeTask("old", "a", 0), makeTask("urgent", "b", 50)};
    added.tasks[1].spec.urgent = true;
    ledger.apply(added);
    CHECK(fairOrder(ledger, makeManifest(), 1, 1)[0]->id == TaskId("urgent"));
}

TEST_CASE("interference between classes is learned by load and decays without new observations")
{
    InterferenceModel model;
    TimePoint now = fromEpochMs(1000);
    for (int round = 0; round < 200; ++round) {
        now += Milliseconds(1000);
        model.observe("check", {{"noisy", 0.4}, {"quiet", 0.1}}, 1 + 0.4 * 5, now);
        model.observe("check", {{"quiet", 0.5}}, 1.0, now);
    }
    CHECK(model.predict("check", {{"noisy", 0.4}}, now) == doctest::Approx(3).epsilon(0.2));
    CHECK(model.predict("check", {{"quiet", 0.4}}, now) < 1.2);
    CHECK(model.predict("check", {{"noisy", 0.4}}, now + std::chrono::hours(8)) < 1.3);
}

TEST_CASE("reservations cover the observed usage and never fall below the declared size")
{
    SizeEstimator sizes;
    const Resources declared(1000, 1000, 0);
    const Resources limit(32000, 64000, 0);
    for (int sample = 0; sample < 20; ++sample)
        sizes.observeUsage("k", declared, Resources(3000, 500, 0));
    const Resources reserved = sizes.reservation("k", declared, limit);
    CHECK(reserved.milliCores() >= 2900);
    CHECK(reserved.memoryMib() == 1000);
    CHECK(sizes.reservation("k", declared, Resources(2000, 64000, 0)).milliCores() == 2000);
    CHECK(sizes.reservation("unknown", declared, limit) == declared);
}

TEST_CASE(
    "a worker that fails several jobs is quarantined; failures of a single job do not suffice")
{
    WorkerHealth health;
    TimePoint now = fromEpochMs(1000);
    for (int failure = 0; failure < 5; ++failure)
        health.noteFailure(worker1, JobKey("bad"), now);
    CHECK_FALSE(health.isQuarantined(worker1, now));
    health.noteFailure(worker1, JobKey("other"), now);
    CHECK(health.isQuarantined(worker1, now));
    now += std::chrono::seconds(31);
    CHECK_FALSE(health.isQuarantined(worker1, now));
    CHECK(health.isOnProbation(worker1));
    health.noteFailure(worker1, JobKey("third"), now);
    CHECK(health.isQuarantined(worker1, now + std::chrono::seconds(59)));
    health.noteSuccess(worker1);
    CHECK_FALSE(health.isOnProbation(worker1));
}

TEST_CASE(
    "mitigation throttles before it evicts; it evicts the task that loses least, within a budget")
{
    InterferenceMitigator mitigator;
    TimePoint now = fromEpochMs(1000);
    std::vector<MitigationCandidate> candidates = {{TaskId("a"), 1.0, 900, 1},
                                                   {TaskId("b"), 0.9, 100, 1}};
    int throttles = 0;
    int evictions = 0;
    for (int report = 0; report < 60; ++report) {
        now += Milliseconds(500);
        for (const MitigationAction &action : mitigator.evaluate(worker1, 2.0, candidates, now)) {
            if (action.kind == MitigationAction::Kind::Evict) {
                CHECK(throttles == 4);
                CHECK(action.task == TaskId("b"));
                ++evictions;
                continue;
            }
            ++throttles;
            for (MitigationCandidate &candidate : candidates) {
                if (candidate.task == action.task)
                    candidate.throttle = action.throttle;
            }
        }
    }
    CHECK(evictions >= 1);
    CHECK(evictions <= 3);
    CHECK(mitigator.evaluate(worker1, 1.2, candidates, now).empty());
}
