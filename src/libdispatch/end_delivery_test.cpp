// Tests of how often agents report the end of a run, and that none is lost.
#include "lavenderarch/core/random.h"
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/queue_catalog.h"
#include "lavenderarch/dispatch/run_ledger.h"

#include <doctest/doctest.h>
#include <memory>

using namespace lavenderarch;

namespace {

const MinionFacts minion{{"m", 1}, "svc", "dc", {"a", "r1"}, Resources(64'000, 64'000, 0),
                         false,    0};
constexpr int taskCount = 40;

/// A message or a reply on its way.
struct InTransit
{
    ExchangeRequest request;
    ExchangeReply reply;
    std::set<std::int64_t> listed; // numbers of the ends that the minion had listed
};

/// An agent whose minion runs all tasks of a job, and the owner that has started them.
class Delivery
{
public:
    RunLedger ledger{"agent", "s"};
    std::unique_ptr<CellDispatcher> owner;
    MinionListing listing;
    BootTime now{Milliseconds(50'000)};

    Delivery()
    {
        beginOwner();
        JobSpec job;
        job.id = "job";
        job.service = "svc";
        job.queue = "q";
        job.steps.emplace_back();
        job.steps[0].count = taskCount;
        job.steps[0].demand = Resources(100, 100, 0);
        owner->applyJobRow({cells::jobKey("svc", job.id), Json(job).dump(), 1, false}, now);
        ledger.updateFacts(minion, 1);
        listing.bornMs = 1;
        while (listing.active.size() < taskCount) {
            exchange();
            list();
            store();
        }
        exchange();
    }

    /// A new owner knows nothing of the cell.
    void beginOwner()
    {
        owner = std::make_unique<CellDispatcher>("svc", DispatchLimits{}, ++m_epoch);
        auto catalog = std::make_shared<QueueCatalog>();
        catalog->queues.push_back({"q", "h", "/q/", "svc", 0, 2, 1.5, 400, 3000, false});
        catalog->services.insert("svc");
        owner->setCatalog(catalog);
    }
    void store()
    {
        (void)owner->prepareCommit(now);
        owner->commitApplied(now);
    }
    void list() { ledger.applyListing(listing, ledger.epoch(), now, now += Milliseconds(1)); }
    /// The minion lists the end of its next run.
    void endRun()
    {
        const auto number = static_cast<std::int64_t>(listing.ends.size()) + 1;
        listing.ends.push_back({number, listing.active.back().run, RunOutcome::Done, "", ""});
        listing.active.pop_back();
        list();
    }
    ExchangeRequest message() { return ledger.nextMessage(0, now); }
    ExchangeReply receive(const ExchangeRequest &request)
    {
        owner->handleRequest(request, now, true);
        return owner->reply("agent", now, true);
    }
    void answer(const ExchangeRequest &request, const ExchangeReply &reply)
    {
        ledger.recordDelivery(request);
        for (const RunOrder &order : ledger.applyReply(reply, now, now)) {
            if (order.kind == OrderKind::Start) {
                ledger.startConfirmed(order.run, now);
                listing.active.push_back({order.run, "", 10, 100});
            }
        }
    }
    /// One message and its reply; returns the number of ends in the message.
    std::size_t exchange()
    {
        const ExchangeRequest request = message();
        answer(request, receive(request));
        return request.ends.size();
    }
    bool ownerKnows(std::int64_t end) const
    {
        const MinionView &view = owner->minions().at("agent");
        return end <= view.endsSeen || view.ends.count(end) != 0;
    }

private:
    std::int64_t m_epoch = 0;
};

} // namespace

// Every message repeated all ends until the commit that held them was stored.
TEST_CASE("an end that the owner is about to store is carried by one message")
{
    Delivery delivery;
    std::size_t carried = 0;
    for (int run = 0; run < 20; ++run) {
        delivery.endRun();
        (void)delivery.owner->prepareCommit(delivery.now); // not stored yet
        carried += delivery.exchange();
    }
    CHECK(delivery.ledger.endsSeen() == 0);
    CHECK(carried == 20);
    delivery.owner->commitApplied(delivery.now);
    delivery.store();
    delivery.exchange();
    CHECK(delivery.ledger.endsSeen() == 20);
}

TEST_CASE("a message repeats the ends of a message without a reply")
{
    Delivery delivery;
    delivery.endRun();
    const ExchangeRequest held = delivery.message();
    CHECK(held.ends.size() == 1);
    (void)delivery.receive(held);
    delivery.endRun();
    CHECK(delivery.message().ends.size() == 2);
    delivery.ledger.exchangeFailed();
    CHECK(delivery.message().ends.size() == 2);
}

TEST_CASE("a snapshot and a message to a new owner carry all unconfirmed ends")
{
    Delivery delivery;
    delivery.endRun();
    delivery.endRun();
    delivery.exchange();
    CHECK(delivery.message().ends.empty());
    CHECK(delivery.ledger.snapshot(0).ends.size() == 2);

    Delivery moved;
    moved.endRun();
    moved.exchange();
    moved.beginOwner();
    CHECK(moved.exchange() == 0); // a brief message, which the new owner rejects
    CHECK(moved.exchange() == 1);
}

// The reply to an overtaken message shows a snapshot that the owner has, but the message was
// ignored, and so was the one that overtook it.
TEST_CASE("the reply to an overtaken message is no evidence once a newer snapshot was sent")
{
    Delivery delivery;
    delivery.endRun();
    const ExchangeRequest overtaken = delivery.message();
    const ExchangeRequest lost = delivery.ledger.snapshot(0);
    const ExchangeRequest rejected = delivery.message();
    REQUIRE(rejected.brief);
    (void)delivery.receive(rejected); // its reply, which asks for a snapshot, is late
    const ExchangeReply reply = delivery.receive(overtaken);
    CHECK(reply.snapshotSeen == overtaken.snapshot);
    CHECK_FALSE(delivery.ownerKnows(1));
    delivery.answer(overtaken, reply);
    CHECK(delivery.message().ends.size() == 1);
    CHECK(lost.ends.size() == 1);
}

TEST_CASE("an absent run is reported once, and again when its confirmation may be lost")
{
    Delivery delivery;
    ExchangeReply reply;
    reply.epoch = delivery.ledger.epoch();
    reply.incarnation = minion.incarnation;
    reply.grantMs = 5000;
    reply.snapshotSeen = delivery.message().snapshot;
    reply.orders.emplace_back();
    reply.orders[0].sequence = 1000;
    reply.orders[0].run = {"other.0.0.0", 1};
    CHECK(delivery.ledger.applyReply(reply, delivery.now, delivery.now).size() == 1);
    delivery.ledger.startRefused({"other.0.0.0", 1}, "no room");
    const ExchangeRequest request = delivery.message();
    CHECK(request.ends.size() == 1);
    ExchangeReply answer = delivery.receive(request);
    CHECK(answer.absentSeen.size() == 1);
    answer.absentSeen.clear(); // another reply has taken it, and was lost
    delivery.answer(request, answer);
    CHECK(delivery.message().ends.empty());
    delivery.ledger.exchangeFailed();
    CHECK(delivery.exchange() == 1);
    CHECK(delivery.ledger.snapshot(0).ends.empty());
}

// Random order of events, also replies that overtake each other.
TEST_CASE("an owner that accepts a brief message knows all ends that the message leaves out")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        RandomEngine random(seed);
        Delivery delivery;
        std::vector<InTransit> requests;
        std::vector<InTransit> replies;
        const auto take = [&](std::vector<InTransit> &from) {
            const auto chosen = from.begin() + static_cast<std::ptrdiff_t>(random() % from.size());
            InTransit taken = std::move(*chosen);
            from.erase(chosen);
            return taken;
        };
        for (int step = 0; step < 400; ++step) {
            delivery.now += Milliseconds(5);
            const auto event = random() % 100;
            if (event < 8 && !delivery.listing.active.empty()) {
                delivery.endRun();
            } else if (event < 40) {
                InTransit sent{delivery.message(), {}, {}};
                for (const RunEnd &end : delivery.listing.ends)
                    sent.listed.insert(end.number);
                requests.push_back(std::move(sent));
            } else if (event < 70 && !requests.empty()) {
                InTransit arrived = take(requests);
                const auto before = delivery.owner->minions().find("agent");
                const bool newest = before == delivery.owner->minions().end() ||
                                    before->second.newestMessage < arrived.request.number;
                delivery.owner->handleRequest(arrived.request, delivery.now, true);
                const MinionView &view = delivery.owner->minions().at("agent");
                if (newest && arrived.request.brief && !view.snapshotDue) {
                    for (const std::int64_t end : arrived.listed)
                        CHECK(delivery.ownerKnows(end));
                }
                arrived.reply = delivery.owner->reply("agent", delivery.now, true);
                replies.push_back(std::move(arrived));
            } else if (event < 92 && !replies.empty()) {
                const InTransit arrived = take(replies);
                delivery.answer(arrived.request, arrived.reply);
            } else if (event < 95 && !(requests.empty() && replies.empty())) {
                (void)take(requests.empty() ? replies : requests);
                delivery.ledger.exchangeFailed();
            } else if (event < 98) {
                delivery.store();
            } else if (random() % 8 == 0) {
                delivery.beginOwner();
            }
        }
        for (int round = 0; round < 5; ++round) {
            delivery.now += Milliseconds(1000);
            delivery.exchange();
            delivery.store();
            delivery.store();
        }
        const auto ended = static_cast<std::int64_t>(delivery.listing.ends.size());
        CHECK(delivery.ledger.endsSeen() == ended);
    }
}
