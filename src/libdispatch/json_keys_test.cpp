// Tests of the JSON text of the types whose keys differ from their member names. Other processes
// and stored rows use these keys.
#include "lavenderarch/dispatch/exchange_reply.h"
#include "lavenderarch/dispatch/minion_facts.h"
#include "lavenderarch/dispatch/step_spec.h"

#include <doctest/doctest.h>

using namespace lavenderarch;

namespace {

/// Id of the exception that reading `text` as `Value` throws; 0 if it throws none.
template <typename Value>
int readErrorId(const char *text)
{
    try {
        (void)Json::parse(text).get<Value>();
    } catch (const Json::exception &error) {
        return error.id;
    }
    return 0;
}

constexpr int wrongValueType = 302; // of a string, a number, a bool or an array
constexpr int notAnObject = 306;

/// Checks that `value` and `text`, which has all keys in alphabetical order, convert into each
/// other, and that each missing key takes the default, also when the target has another value.
template <typename Value>
void checkRoundTrip(const Value &value, const char *text)
{
    CHECK(Json(value).dump() == text);
    const Json whole = Json::parse(text);
    CHECK(whole.get<Value>() == value);
    const Json defaults = Json(Value());
    CHECK(defaults.size() == whole.size());
    for (const auto &entry : whole.items()) {
        const std::string &key = entry.key();
        CAPTURE(key);
        CHECK(defaults.at(key) != entry.value());
        Json partial = whole;
        partial.erase(key);
        Value read = value;
        partial.get_to(read);
        Json expected = whole;
        expected[key] = defaults.at(key);
        CHECK(Json(read).dump() == expected.dump());
    }
    Value read = value;
    Json::object().get_to(read);
    CHECK(read == Value());
    CHECK(readErrorId<Value>("[]") == notAnObject);
    CHECK(readErrorId<Value>("null") == notAnObject);
}

RunOrder sampleOrder()
{
    RunOrder order;
    order.sequence = 7;
    order.kind = OrderKind::Describe;
    order.run = {"j.0.0.0", 2};
    order.payload = "p";
    order.checkpoint = "c";
    order.ticket = "t";
    order.bestEffort = true;
    order.tailTargetMs = 18;
    order.image = "i";
    order.milliCores = 500;
    order.memoryMib = 200;
    order.accelerators = 1;
    order.startWithinMs = 900;
    return order;
}

constexpr const char *sampleOrderText =
    R"({"accelerators":1,"checkpoint":"c","fills":true,"image":"i","kind":"describe",)"
    R"("memoryMib":200,"milliCores":500,)"
    R"("payload":"p","run":{"number":2,"task":"j.0.0.0"},"sequence":7,"startWithinMs":900,)"
    R"("tailTargetMs":18,"ticket":"t"})";

} // namespace

TEST_CASE("a step specification keeps the JSON key fills for best-effort tasks")
{
    StepSpec step;
    step.count = 3;
    step.demand = Resources(700, 200, 1);
    step.estimateMs = 9000;
    step.after = {0, 1};
    step.checkpointing = true;
    step.gang = true;
    step.sameRack = true;
    step.requiredLabel = "l";
    step.preferredRack = "r";
    step.maxPerMinion = 2;
    step.speculative = true;
    step.longRunning = true;
    step.image = "i";
    step.tailTargetMs = 18;
    step.bestEffort = true;
    step.maxUnavailable = 1;
    checkRoundTrip(
        step, R"({"after":[0,1],"checkpointing":true,"count":3,)"
              R"("demand":{"accelerators":1,"memoryMib":200,"milliCores":700},"estimateMs":9000,)"
              R"("fills":true,"gang":true,"image":"i","longRunning":true,"maxPerMinion":2,)"
              R"("maxUnavailable":1,"preferredRack":"r","requiredLabel":"l","sameRack":true,)"
              R"("speculative":true,"tailTargetMs":18})");
    CHECK(readErrorId<StepSpec>(R"({"fills":1})") == wrongValueType);
    CHECK(readErrorId<StepSpec>(R"({"fills":null})") == wrongValueType);
    CHECK(readErrorId<StepSpec>(R"({"count":"3"})") == wrongValueType);
    CHECK(readErrorId<StepSpec>(R"({"after":0})") == wrongValueType);
}

TEST_CASE("an order keeps the JSON key fills for best-effort runs")
{
    checkRoundTrip(sampleOrder(), sampleOrderText);
    CHECK(readErrorId<RunOrder>(R"({"fills":"true"})") == wrongValueType);
    CHECK(readErrorId<RunOrder>(R"({"fills":null})") == wrongValueType);
    CHECK(readErrorId<RunOrder>(R"({"sequence":"7"})") == wrongValueType);
}

TEST_CASE("a weight of the tail model keeps the JSON key filling for the best-effort image")
{
    checkRoundTrip(TailWeight{"b", "s", 1.5}, R"({"filling":"b","serving":"s","weight":1.5})");
    CHECK(readErrorId<TailWeight>(R"({"filling":true})") == wrongValueType);
    CHECK(readErrorId<TailWeight>(R"({"filling":null})") == wrongValueType);
    CHECK(readErrorId<TailWeight>(R"({"weight":"1.5"})") == wrongValueType);
}

TEST_CASE("a minion's facts keep the JSON key life for the incarnation")
{
    MinionFacts facts;
    facts.incarnation = {"m", 99};
    facts.service = "s";
    facts.dataCentre = "d";
    facts.labels = {"k", "r"};
    facts.capacity = Resources(8000, 1000, 1);
    facts.draining = true;
    facts.remainingMs = 30;
    checkRoundTrip(facts, R"({"capacity":{"accelerators":1,"memoryMib":1000,"milliCores":8000},)"
                          R"("dataCentre":"d","draining":true,"labels":["k","r"],)"
                          R"("life":{"bornMs":99,"id":"m"},"remainingMs":30,"service":"s"})");
    CHECK(readErrorId<MinionFacts>(R"({"life":"m"})") == notAnObject);
    CHECK(readErrorId<MinionFacts>(R"({"life":null})") == notAnObject);
    CHECK(readErrorId<MinionFacts>(R"({"labels":"k"})") == wrongValueType);
}

TEST_CASE("an exchange reply keeps the JSON key life for the incarnation")
{
    ExchangeReply reply;
    reply.epoch = 4;
    reply.incarnation = {"m", 99};
    reply.grantMs = 6000;
    reply.endsSeen = 5;
    reply.absentSeen = {{"j.0.0.1", 1}};
    reply.orders = {sampleOrder()};
    reply.snapshotSeen = 8;
    reply.weights = {{"b", "s", 1.5}};
    const std::string text =
        std::string(R"({"absentSeen":[{"number":1,"task":"j.0.0.1"}],"endsSeen":5,"epoch":4,)"
                    R"("grantMs":6000,"life":{"bornMs":99,"id":"m"},"orders":[)") +
        sampleOrderText +
        R"(],"snapshotSeen":8,"weights":[{"filling":"b","serving":"s","weight":1.5}]})";
    checkRoundTrip(reply, text.c_str());
    CHECK(readErrorId<ExchangeReply>(R"({"life":7})") == notAnObject);
    CHECK(readErrorId<ExchangeReply>(R"({"life":null})") == notAnObject);
    CHECK(readErrorId<ExchangeReply>(R"({"epoch":"4"})") == wrongValueType);
    CHECK(readErrorId<ExchangeReply>(R"({"orders":{}})") == wrongValueType);
}
