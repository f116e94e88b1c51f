// Tests of the model of interference and of the paces.
#include "lavenderarch/dispatch/pace_controller.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

/// A ledger of a minion with 10 processors whose listings a test sets.
class PacedMinion
{
public:
    PacedMinion()
    {
        m_ledger.updateFacts({{"m", 1}, "svc", "dc", {}, Resources(10'000, 1000, 0), false, 0}, 1);
    }

    /// Sends start orders for one serving task and for fills of two images, with their weights.
    void start()
    {
        ExchangeReply reply;
        reply.epoch = 1;
        reply.life = {"m", 1};
        reply.grantMs = 60'000;
        reply.orders = {order(1, "serve.0.0.0", "serve", 10), order(2, "loud.0.0.0", "loud", 0),
                        order(3, "calm.0.0.0", "calm", 0)};
        reply.weights = {{"loud", "serve", 10}, {"calm", "serve", 0}};
        m_ledger.applyReply(reply, m_now, m_now);
    }
    void list(int tailMs, int loudPace, int calmPace)
    {
        MinionListing listing;
        listing.bornMs = 1;
        listing.active = {{{"serve.0.0.0", 1}, "", 100, static_cast<double>(tailMs)},
                          {{"loud.0.0.0", 1}, "", 10, 20.0 * loudPace},
                          {{"calm.0.0.0", 1}, "", 10, 20.0 * calmPace}};
        m_ledger.setPace({"loud.0.0.0", 1}, loudPace);
        m_ledger.setPace({"calm.0.0.0", 1}, calmPace);
        m_ledger.applyListing(listing, 1, m_now, m_now);
    }
    void pass(int milliseconds) { m_now += Milliseconds(milliseconds); }
    /// The serving task for whose sake a fill's pace changes.
    std::string asker(const std::string &fill) const
    {
        for (const PaceChange &change : decidePaces(m_ledger, m_now)) {
            if (change.run.task.rfind(fill, 0) == 0)
                return change.serving;
        }
        return "";
    }
    std::map<std::string, int> paces() const
    {
        std::map<std::string, int> paces;
        for (const PaceChange &change : decidePaces(m_ledger, m_now))
            paces[change.run.task.substr(0, 4)] = change.percent;
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
        start.fills = tailTargetMs == 0;
        start.tailTargetMs = tailTargetMs;
        return start;
    }

    BootTime m_now{Milliseconds(50'000)};
    RunLedger m_ledger{"agent", "s"};
};

} // namespace

TEST_CASE("weights of images are learned from the tails beside them, own load apart")
{
    TailModel model;
    TailHeadroom run;
    BootTime now(Milliseconds(50'000));
    for (int look = 0; look < 60; ++look) {
        now += Milliseconds(500);
        // The own load swings; "loud" costs 12 per whole minion, "calm" nothing.
        const double own = 2.6 + std::sin(look / 3.0);
        const double loud = look % 4 < 2 ? 0.1 : 0;
        const double calm = look % 3 == 0 ? 0.2 : 0;
        model.observe("serve", run, {{"loud", loud}, {"calm", calm}}, own - 12 * loud, now);
    }
    CHECK(model.weight("loud", "serve") > 8);
    CHECK(model.weight("loud", "serve") < 16);
    CHECK(model.weight("calm", "serve") < 2);
    TailModel read;
    REQUIRE(read.load(model.text()));
    CHECK(read.weight("loud", "serve") ==
          doctest::Approx(model.weight("loud", "serve")).epsilon(0.01));
    CHECK_FALSE(read.load("{}"));
    CHECK(read.weight("loud", "serve") > 8);
}

TEST_CASE("a serving task's own load is not blamed on what fills beside it")
{
    TailModel model;
    TailHeadroom run;
    BootTime now(Milliseconds(50'000));
    for (int look = 0; look < 40; ++look) {
        now += Milliseconds(500);
        const double own = 1.1 + 0.4 * std::sin(look / 3.0);
        model.observe("busy", run, {{"calm", look % 2 == 0 ? 0.1 : 0.0}}, own, now);
    }
    CHECK(model.weight("calm", "busy") < 2);
}

TEST_CASE("a saturated queue raises weights, and its building down does not lower the own headroom")
{
    TailModel model;
    TailHeadroom run;
    BootTime now(Milliseconds(50'000));
    model.observe("serve", run, {}, 2.5, now);
    const double before = model.weight("loud", "serve");
    for (int look = 0; look < 3; ++look)
        model.observe("serve", run, {{"loud", 0.1}}, 0.05, now);
    CHECK(model.weight("loud", "serve") > 2 * before);
    model.observe("serve", run, {}, 0.4, now + Milliseconds(700));
    CHECK(run.baseline > 2);
    model.observe("serve", run, {}, 0.4, now + Milliseconds(3000));
    CHECK(run.baseline < 2);
}

TEST_CASE("paces fall on the fills that do harm and come back")
{
    PacedMinion minion;
    minion.start();
    minion.list(5, 100, 100);
    minion.pass(500);
    // Headroom is 2 at a pressure of 2 by the loud fill: all may go on.
    CHECK(minion.paces().empty());
    minion.list(14, 100, 100);
    auto paces = minion.paces();
    REQUIRE(paces.count("loud") == 1);
    CHECK(paces["loud"] < 90);
    CHECK(paces.count("calm") == 0);
    CHECK(minion.asker("loud") == "serve.0.0.0");
    for (int look = 0; look < 6; ++look) {
        minion.pass(500);
        minion.list(9, 0, 100);
    }
    CHECK(minion.paces().empty()); // what is left of the headroom is too little for the loud one
    for (int look = 0; look < 6; ++look) {
        minion.pass(500);
        minion.list(3, 0, 100);
    }
    CHECK(minion.paces()["loud"] > 0);
}

TEST_CASE("all fills stand still once a serving task is over its target for long")
{
    PacedMinion minion;
    minion.start();
    minion.list(14, 100, 100);
    CHECK(minion.paces().count("calm") == 0);
    minion.pass(1300);
    minion.list(14, 100, 100);
    auto paces = minion.paces();
    REQUIRE(paces.size() == 2);
    CHECK(paces["loud"] == 0);
    CHECK(paces["calm"] == 0);
}
