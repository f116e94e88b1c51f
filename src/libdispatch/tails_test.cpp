// Tests of the tail latency model and of the paces of best-effort runs.
#include "lavenderarch/dispatch/pace_controller.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

/// The ledger of a minion with 10 processors whose listings are set by the test.
class PacedMinion
{
public:
    PacedMinion()
    {
        m_ledger.updateFacts({{"m", 1}, "svc", "dc", {}, Resources(10'000, 1000, 0), false, 0}, 1);
    }

    /// Orders the start of one serving task and of best-effort tasks of two images with known
    /// weights.
    void start()
    {
        ExchangeReply reply;
        reply.epoch = 1;
        reply.incarnation = {"m", 1};
        reply.grantMs = 60'000;
        reply.orders = {order(1, "serve.0.0.0", "serve", 10), order(2, "noisy.0.0.0", "noisy", 0),
                        order(3, "quiet.0.0.0", "quiet", 0)};
        reply.weights = {{"noisy", "serve", 10}, {"quiet", "serve", 0}};
        m_ledger.applyReply(reply, m_now, m_now);
    }
    /// Applies a listing with the serving task's tail latency and the paces of the best-effort
    /// tasks.
    void report(int tailMs, int noisyPace, int quietPace)
    {
        MinionListing listing;
        listing.bornMs = 1;
        listing.active = {{{"serve.0.0.0", 1}, "", 100, static_cast<double>(tailMs)},
                          {{"noisy.0.0.0", 1}, "", 10, 20.0 * noisyPace},
                          {{"quiet.0.0.0", 1}, "", 10, 20.0 * quietPace}};
        m_ledger.setPace({"noisy.0.0.0", 1}, noisyPace);
        m_ledger.setPace({"quiet.0.0.0", 1}, quietPace);
        m_ledger.applyListing(listing, 1, m_now, m_now);
    }
    void advance(int milliseconds) { m_now += Milliseconds(milliseconds); }
    /// The serving task for which the pace of the best-effort task changes; empty: none.
    std::string limitingTask(const std::string &image) const
    {
        for (const PaceChange &change : decidePaces(m_ledger, m_now)) {
            if (change.run.task.rfind(image, 0) == 0)
                return change.serving;
        }
        return "";
    }
    /// The paces that the controller changes, by image.
    std::map<std::string, int> changedPaces() const
    {
        std::map<std::string, int> paces;
        for (const PaceChange &change : decidePaces(m_ledger, m_now))
            paces[change.run.task.substr(0, 5)] = change.percent;
        return paces;
    }

private:
    static RunOrder order(std::int64_t sequence, const std::string &task, const std::string &image,
                          std::int64_t tailTargetMs)
    {
        RunOrder start;
        start.sequence = sequence;
        start.run = {task, 1};
        start.image = image;
        start.milliCores = 2000;
        start.bestEffort = tailTargetMs == 0;
        start.tailTargetMs = tailTargetMs;
        return start;
    }

    BootTime m_now{Milliseconds(50'000)};
    RunLedger m_ledger{"agent", "s"};
};

} // namespace

TEST_CASE("weights are learned from tail latencies independently of the serving task's own load")
{
    TailModel model;
    TailHeadroom run;
    BootTime now(Milliseconds(50'000));
    for (int sample = 0; sample < 60; ++sample) {
        now += Milliseconds(500);
        // The baseline varies; "noisy" takes 12 per whole minion, "quiet" takes nothing.
        const double baseline = 2.6 + std::sin(sample / 3.0);
        const double noisy = sample % 4 < 2 ? 0.1 : 0;
        const double quiet = sample % 3 == 0 ? 0.2 : 0;
        model.observe("serve", run, {{"noisy", noisy}, {"quiet", quiet}}, baseline - 12 * noisy,
                      now);
    }
    CHECK(model.weight("noisy", "serve") > 8);
    CHECK(model.weight("noisy", "serve") < 16);
    CHECK(model.weight("quiet", "serve") < 2);
    TailModel read;
    REQUIRE(read.load(model.text()));
    CHECK(read.weight("noisy", "serve") ==
          doctest::Approx(model.weight("noisy", "serve")).epsilon(0.01));
    CHECK_FALSE(read.load("{}"));
    CHECK(read.weight("noisy", "serve") > 8);
}

TEST_CASE("changes of a serving task's own load are not attributed to best-effort tasks")
{
    TailModel model;
    TailHeadroom run;
    BootTime now(Milliseconds(50'000));
    for (int sample = 0; sample < 40; ++sample) {
        now += Milliseconds(500);
        const double baseline = 1.1 + 0.4 * std::sin(sample / 3.0);
        model.observe("busy", run, {{"quiet", sample % 2 == 0 ? 0.1 : 0.0}}, baseline, now);
    }
    CHECK(model.weight("quiet", "busy") < 2);
}

TEST_CASE("a saturated queue raises weights, and draining it does not lower the baseline headroom")
{
    TailModel model;
    TailHeadroom run;
    BootTime now(Milliseconds(50'000));
    model.observe("serve", run, {}, 2.5, now);
    const double before = model.weight("noisy", "serve");
    for (int sample = 0; sample < 3; ++sample)
        model.observe("serve", run, {{"noisy", 0.1}}, 0.05, now);
    CHECK(model.weight("noisy", "serve") > 2 * before);
    model.observe("serve", run, {}, 0.4, now + Milliseconds(700));
    CHECK(run.baseline > 2);
    model.observe("serve", run, {}, 0.4, now + Milliseconds(3000));
    CHECK(run.baseline < 2);
}

TEST_CASE("only best-effort tasks that take headroom are slowed, and their pace recovers")
{
    PacedMinion minion;
    minion.start();
    minion.report(5, 100, 100);
    minion.advance(500);
    // The headroom is 2 while the noisy task takes 2, so no pace changes.
    CHECK(minion.changedPaces().empty());
    minion.report(14, 100, 100);
    auto paces = minion.changedPaces();
    REQUIRE(paces.count("noisy") == 1);
    CHECK(paces["noisy"] < 90);
    CHECK(paces.count("quiet") == 0);
    CHECK(minion.limitingTask("noisy") == "serve.0.0.0");
    for (int sample = 0; sample < 6; ++sample) {
        minion.advance(500);
        minion.report(9, 0, 100);
    }
    // The remaining headroom is too small to resume the noisy task.
    CHECK(minion.changedPaces().empty());
    for (int sample = 0; sample < 6; ++sample) {
        minion.advance(500);
        minion.report(3, 0, 100);
    }
    CHECK(minion.changedPaces()["noisy"] > 0);
}

TEST_CASE("all best-effort tasks are paused once a serving task exceeds its target for too long")
{
    PacedMinion minion;
    minion.start();
    minion.report(14, 100, 100);
    CHECK(minion.changedPaces().count("quiet") == 0);
    minion.advance(1300);
    minion.report(14, 100, 100);
    auto paces = minion.changedPaces();
    REQUIRE(paces.size() == 2);
    CHECK(paces["noisy"] == 0);
    CHECK(paces["quiet"] == 0);
}
