// Tests of the JSON text of the messages between agents and owners. Agents and owners of other
// versions read it.
#include "lavenderarch/dispatch/exchange_reply.h"
#include "lavenderarch/dispatch/exchange_request.h"
#include "request_reader.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

ExchangeReply sampleReply()
{
    RunOrder startOrder;
    startOrder.sequence = 7;
    startOrder.run = {"0123456789abcdef.0.0.11", 1};
    startOrder.payload = "640";
    startOrder.milliCores = 580;
    startOrder.startWithinMs = 900;
    RunOrder stop;
    stop.sequence = 8;
    stop.kind = OrderKind::Stop;
    stop.run = {"0123456789abcdef.0.0.12", 2};
    RunOrder full;
    full.sequence = 9;
    full.kind = OrderKind::Describe;
    full.run = {"caf\u00e9 \"x\"\\\n", 3};
    full.payload = "{\"a\": [1, 2]}";
    full.checkpoint = "c\t1";
    full.ticket = "t";
    full.bestEffort = true;
    full.tailTargetMs = 18;
    full.image = "i";
    full.milliCores = 500;
    full.memoryMib = 200;
    full.accelerators = 1;
    full.startWithinMs = 0;
    ExchangeReply reply;
    reply.epoch = 4;
    reply.incarnation = {"m", 99};
    reply.grantMs = 5400;
    reply.endsSeen = 5;
    reply.absentSeen = {{"j.0.0.1", 1}, {"j.0.0.2", 3}};
    reply.orders = {startOrder, stop, full};
    reply.snapshotSeen = 8;
    reply.weights = {{"b", "s", 1.5}, {"b2", "s", -0.1}};
    return reply;
}

void eraseDefaults(Json &object, Json defaults)
{
    for (const auto &[key, value] : defaults.items()) {
        if (object.at(key) == value)
            object.erase(key);
    }
}

/// The text that a JSON tree of the reply gives.
std::string textOfTree(const ExchangeReply &reply)
{
    Json tree = reply;
    for (Json &order : tree.at("orders"))
        eraseDefaults(order, RunOrder());
    eraseDefaults(tree, ExchangeReply());
    return tree.dump();
}

} // namespace

TEST_CASE("the text of a reply is that of its JSON tree without default values")
{
    ExchangeReply idle;
    idle.epoch = 4;
    idle.incarnation = {"m", 99};
    idle.grantMs = 5400;
    idle.snapshotSeen = 8;
    for (const ExchangeReply &reply : {sampleReply(), idle, ExchangeReply()}) {
        CHECK(replyText(reply) == textOfTree(reply));
        CHECK(Json::parse(replyText(reply)).get<ExchangeReply>() == reply);
    }
    CHECK(replyText(idle) ==
          R"({"epoch":4,"grantMs":5400,"life":{"bornMs":99,"id":"m"},"snapshotSeen":8})");
}

// Empty checkpoints, tickets and images were most of the text of an order, and so of an end.
TEST_CASE("orders and ends are written without their default values")
{
    ExchangeReply reply;
    reply.orders = {sampleReply().orders.front()};
    CHECK(replyText(reply) ==
          R"({"orders":[{"milliCores":580,"payload":"640","run":{"number":1,)"
          R"("task":"0123456789abcdef.0.0.11"},"sequence":7,"startWithinMs":900}]})");
    ExchangeRequest request;
    request.ends = {{3, {"j.0.0.1", 1}, RunOutcome::Done, "", ""},
                    {0, {"j.0.0.2", 1}, RunOutcome::Absent, "", "no lease"}};
    CHECK(requestText(request) ==
          R"({"ends":[{"number":3,"run":{"number":1,"task":"j.0.0.1"}},)"
          R"({"outcome":"absent","reason":"no lease","run":{"number":1,"task":"j.0.0.2"}}]})");
    CHECK(Json::parse(requestText(request)).get<ExchangeRequest>() == request);
}

namespace {

ExchangeRequest sampleSnapshot()
{
    ExchangeRequest request;
    request.agent = "side-1";
    request.session = "s";
    request.number = 12;
    request.epoch = 3;
    request.registered = true;
    request.listed = true;
    request.reachable = true;
    request.facts = {{"m", 99}, "svc", "dc", {"a", "r1"}, Resources(32'000, 64'000, 2), true, 700};
    request.runs = {{{"j.0.0.3", 2}, 40, 75, "c", false, -580, true},
                    {{"j.0.0.4", 1}, 0, 100, "", true, 0, false}};
    request.ends = {{3, {"j.0.0.1", 1}, RunOutcome::Failed, "c \"2\"", ""},
                    {0, {"j.0.0.2", 1}, RunOutcome::Absent, "", "no lease"},
                    {4, {"j.0.0.5", 1}, RunOutcome::Done, "", ""}};
    request.orderSeen = 17;
    request.waitMs = 900;
    return request;
}

ExchangeRequest sampleBrief()
{
    ExchangeRequest request = sampleSnapshot();
    request.registered = false;
    request.listed = false;
    request.facts = {};
    request.brief = true;
    request.incarnation = {"m", 99};
    request.snapshot = 11;
    return request;
}

} // namespace

// The tree of a message took as long as its text.
TEST_CASE("messages as agents write them are read without a JSON tree")
{
    for (const ExchangeRequest &request : {sampleSnapshot(), sampleBrief(), ExchangeRequest()}) {
        CHECK(RequestReader::read(requestText(request)) == request);
        CHECK(RequestReader::read(Json(request).dump()) == request); // with all default values
        const auto read = readRequest(requestText(request));
        REQUIRE(read.ok());
        CHECK(*read == request);
    }
}

// Agents of later versions may send more.
TEST_CASE("a message with anything else is read from a JSON tree")
{
    Json more = sampleSnapshot();
    more["later"] = {{"a", {1, nullptr, 2.5}}};
    more["number"] = 12.0;
    more["facts"]["later"] = true;
    more["ends"][0]["later"] = "x";
    CHECK(RequestReader::read(more.dump()) == std::nullopt);
    const auto read = readRequest(more.dump());
    REQUIRE(read.ok());
    CHECK(*read == sampleSnapshot());
}

TEST_CASE("each error in a message is found, as in a JSON tree")
{
    const std::string text = requestText(sampleSnapshot());
    for (std::size_t length = 0; length < text.size(); ++length)
        CHECK_FALSE(readRequest(text.substr(0, length)).ok());
    // Replaces each value by one of each type.
    const Json whole = sampleSnapshot();
    const Json flat = whole.flatten();
    for (const auto &entry : flat.items()) {
        const std::string &path = entry.key();
        for (const Json &other : {Json(nullptr), Json(true), Json(7), Json(-1.5), Json("x"),
                                  Json::array({1}), Json::object({{"a", 1}})}) {
            CAPTURE(path);
            CAPTURE(other.dump());
            Json changed = whole;
            changed[Json::json_pointer(path)] = other;
            const auto expected = parseAs<ExchangeRequest>(changed.dump(), "exchange");
            const auto read = readRequest(changed.dump());
            REQUIRE(read.ok() == expected.ok());
            if (read.ok())
                CHECK(*read == *expected);
        }
    }
    for (const char *incomplete :
         {R"({"runs":[["j.0.0.1",1,0,100,"",true,false]]})", R"({"ends":[{"run":{"task":"j"}}]})",
          R"({"ends":[{"run":{"number":1}}]})", "[]", "7", R"({"runs":{}})", R"({"ends":[[]]})"}) {
        CAPTURE(incomplete);
        CHECK_FALSE(readRequest(incomplete).ok());
    }
}

TEST_CASE("names in a message have a largest size")
{
    for (const auto name : {&ExchangeRequest::agent, &ExchangeRequest::session}) {
        ExchangeRequest request = sampleSnapshot();
        request.*name = std::string(200, 'a');
        CHECK(readRequest(requestText(request)).ok());
        request.*name += 'a';
        CHECK(messageOf(readRequest(requestText(request)).status()).find("200 bytes") !=
              std::string::npos);
    }
}
