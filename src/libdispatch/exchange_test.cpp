// Tests of brief messages between an agent and the owner of its cell.
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/dispatch/run_ledger.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

const BootTime start(Milliseconds(50'000));
const MinionFacts minion{{"m", 1}, "svc", "dc", {"a", "r1"}, Resources(64'000, 64'000, 0),
                         false,    0};

RunKey run(int index)
{
    return {"0123456789abcdef.0.0." + std::to_string(index), 1};
}

/// An agent whose minion runs `runs` tasks, and an owner that has its snapshot.
struct Exchange
{
    CellDispatcher owner{"svc", DispatchLimits{}, 1};
    RunLedger ledger{"agent", "s"};
    MinionListing listing;

    explicit Exchange(int runs)
    {
        ledger.updateFacts(minion, 1);
        listing.bornMs = 1;
        for (int index = 0; index < runs; ++index)
            listing.active.push_back({run(index), "", 10, 500});
        deliver(ledger.nextMessage(0, start));
        list();
        deliver(ledger.nextMessage(0, start));
        list(); // runs that the owner does not expect are being stopped
        deliver(ledger.nextMessage(0, start));
    }
    void list() { ledger.applyListing(listing, ledger.epoch(), start, start); }
    void deliver(const ExchangeRequest &request) { answer(request, receive(request)); }
    /// The owner receives the message; returns its reply.
    ExchangeReply receive(const ExchangeRequest &request)
    {
        owner.handleRequest(request, start, true);
        return owner.reply("agent", start, true);
    }
    /// The agent receives the reply to the message.
    void answer(const ExchangeRequest &request, const ExchangeReply &reply)
    {
        ledger.recordDelivery(request);
        ledger.applyReply(reply, start, start);
    }
    /// The message that reports the end of one more run.
    ExchangeRequest endMessage()
    {
        listing.ends = {{1, run(999), RunOutcome::Done, "", ""}};
        list();
        return ledger.nextMessage(0, start);
    }
};

} // namespace

// Every message described all runs of the minion, which took the owner's processor time and link.
TEST_CASE("a message that reports an end does not grow with the other runs of the minion")
{
    const std::string alone = requestText(Exchange(1).endMessage());
    const std::string beside = requestText(Exchange(40).endMessage());
    CHECK(beside.size() <= alone.size() + 2); // the sequence of the last order has more digits
}

// The end of a run waited for the next snapshot if the owner ignored brief messages.
TEST_CASE("an end in a brief message is confirmed")
{
    Exchange exchange(3);
    const ExchangeRequest message = exchange.endMessage();
    REQUIRE(message.brief);
    exchange.owner.handleRequest(message, start, true);
    CHECK(exchange.owner.reply("agent", start, true).endsSeen == 1);
}

// Each message woke the cell's thread, also the polls of idle agents.
TEST_CASE("a message without news leaves the owner nothing to do")
{
    Exchange exchange(3);
    (void)exchange.owner.prepareCommit(start);
    (void)exchange.owner.takeEvents();
    exchange.deliver(exchange.ledger.nextMessage(900, start));
    CHECK_FALSE(exchange.owner.hasWork());
    exchange.deliver(exchange.ledger.nextMessage(900, start + Milliseconds(1000)));
    CHECK_FALSE(exchange.owner.hasWork());
}

TEST_CASE("an owner without the snapshot asks for it without delay")
{
    Exchange exchange(3);
    const ExchangeRequest message = exchange.endMessage();
    REQUIRE(message.brief);
    CellDispatcher other("svc", DispatchLimits{}, 1);
    other.handleRequest(message, start, true);
    CHECK(other.hasOrders("agent"));
    const ExchangeReply reply = other.reply("agent", start, true);
    CHECK(reply.snapshotSeen == 0);
    CHECK(reply.endsSeen == 0);
    exchange.ledger.applyReply(reply, start, start);
    const ExchangeRequest next = exchange.ledger.nextMessage(0, start);
    CHECK_FALSE(next.brief);
    CHECK(next.runs.size() == 3);
    CHECK(next.ends.size() == 1);
}

TEST_CASE("an agent sends snapshots to an owner that does not read brief messages")
{
    Exchange exchange(3);
    ExchangeReply reply = exchange.owner.reply("agent", start, true);
    reply.snapshotSeen = 0; // as read from a reply without the key
    exchange.ledger.applyReply(reply, start, start);
    CHECK_FALSE(exchange.endMessage().brief);
}

TEST_CASE("changed facts, a failed message and age each require a snapshot")
{
    Exchange facts(3);
    MinionFacts draining = minion;
    draining.draining = true;
    facts.ledger.updateFacts(draining, 2);
    CHECK_FALSE(facts.ledger.nextMessage(0, start).brief);

    Exchange failed(3);
    CHECK(failed.ledger.nextMessage(0, start).brief);
    failed.ledger.exchangeFailed();
    CHECK_FALSE(failed.ledger.nextMessage(0, start).brief);

    Exchange old(3);
    CHECK_FALSE(old.ledger.nextMessage(0, start + Milliseconds(1000)).brief);
}

// The empty facts of a brief message were most of its text.
TEST_CASE("a message leaves out members with their default value and reads back the same")
{
    Exchange exchange(3);
    const ExchangeRequest poll = exchange.ledger.nextMessage(900, start);
    REQUIRE(poll.brief);
    CHECK(Json::parse(requestText(poll)) == Json{{"agent", "agent"},
                                                 {"session", "s"},
                                                 {"number", poll.number},
                                                 {"epoch", 1},
                                                 {"reachable", true},
                                                 {"orderSeen", poll.orderSeen},
                                                 {"waitMs", 900},
                                                 {"brief", true},
                                                 {"incarnation", minion.incarnation},
                                                 {"snapshot", poll.snapshot}});
    for (const ExchangeRequest &request :
         {poll, exchange.endMessage(), exchange.ledger.snapshot(0), ExchangeRequest()})
        CHECK(Json::parse(requestText(request)).get<ExchangeRequest>() == request);
}

TEST_CASE("to an owner that ignores the key, a brief message lists no runs and has no facts")
{
    Exchange exchange(3);
    Json text = Json::parse(requestText(exchange.endMessage()));
    text.erase("brief");
    const auto read = text.get<ExchangeRequest>();
    CHECK_FALSE(read.listed);
    CHECK_FALSE(read.registered);
    CHECK(read.reachable);
}
