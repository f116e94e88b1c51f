// JSON text of the messages between agents and owners. Members with their default value are left
// out, as most have it in most messages.
#include "lavenderarch/core/json_text.h"
#include "lavenderarch/dispatch/exchange_reply.h"
#include "lavenderarch/dispatch/exchange_request.h"
#include "request_reader.h"

namespace lavenderarch {
namespace {

/// Writes one JSON object; members come in the order of the calls. Values with a default are left
/// out if they have it.
class ObjectText
{
public:
    explicit ObjectText(std::string &out)
        : m_out(out)
    {
        m_out += '{';
    }
    /// Writes the key; the caller appends the value.
    std::string &member(std::string_view key)
    {
        if (m_out.back() != '{')
            m_out += ',';
        return m_out.append("\"").append(key).append("\":");
    }
    void add(std::string_view key, std::int64_t value, std::int64_t unless)
    {
        if (value != unless)
            member(key) += std::to_string(value);
    }
    void add(std::string_view key, const std::string &value)
    {
        if (!value.empty())
            appendQuoted(member(key), value);
    }
    /// Writes a list unless it is empty; `append` writes one item.
    template <typename Items, typename Append>
    void addList(std::string_view key, const Items &items, Append append)
    {
        if (items.empty())
            return;
        member(key) += '[';
        for (const auto &item : items) {
            if (m_out.back() != '[')
                m_out += ',';
            append(m_out, item);
        }
        m_out += ']';
    }
    void end() { m_out += '}'; }

private:
    std::string &m_out;
};

void appendRun(std::string &out, const RunKey &run)
{
    out.append(R"({"number":)").append(std::to_string(run.number)).append(R"(,"task":)");
    appendQuoted(out, run.task);
    out += '}';
}

void appendOrder(std::string &out, const RunOrder &order)
{
    static const RunOrder defaults;
    ObjectText text(out);
    text.add("accelerators", order.accelerators, defaults.accelerators);
    text.add("checkpoint", order.checkpoint);
    if (order.bestEffort)
        text.member("fills") += "true";
    text.add("image", order.image);
    if (order.kind != defaults.kind)
        text.member("kind") += jsonText(order.kind);
    text.add("memoryMib", order.memoryMib, defaults.memoryMib);
    text.add("milliCores", order.milliCores, defaults.milliCores);
    text.add("payload", order.payload);
    appendRun(text.member("run"), order.run);
    text.add("sequence", order.sequence, defaults.sequence);
    text.add("startWithinMs", order.startWithinMs, defaults.startWithinMs);
    text.add("tailTargetMs", order.tailTargetMs, defaults.tailTargetMs);
    text.add("ticket", order.ticket);
    text.end();
}

/// Removes the members of `object` that equal those of `defaults`.
void eraseDefaults(Json &object, const Json &defaults)
{
    for (const auto &[key, value] : defaults.items()) {
        if (object.at(key) == value)
            object.erase(key);
    }
}

} // namespace

std::string replyText(const ExchangeReply &reply)
{
    static const ExchangeReply defaults;
    std::string out;
    ObjectText text(out);
    text.addList("absentSeen", reply.absentSeen, appendRun);
    text.add("endsSeen", reply.endsSeen, defaults.endsSeen);
    text.add("epoch", reply.epoch, defaults.epoch);
    text.add("grantMs", reply.grantMs, defaults.grantMs);
    if (reply.incarnation != defaults.incarnation) {
        text.member("life").append(R"({"bornMs":)");
        out.append(std::to_string(reply.incarnation.bornMs)).append(R"(,"id":)");
        appendQuoted(out, reply.incarnation.id);
        out += '}';
    }
    text.addList("orders", reply.orders, appendOrder);
    text.add("snapshotSeen", reply.snapshotSeen, defaults.snapshotSeen);
    text.addList("weights", reply.weights,
                 [](std::string &list, const TailWeight &weight) { list += jsonText(weight); });
    text.end();
    return out;
}

std::string requestText(const ExchangeRequest &request)
{
    static const Json defaults = ExchangeRequest();
    static const Json endDefaults = RunEnd();
    Json text = request;
    for (Json &end : text.at("ends"))
        eraseDefaults(end, endDefaults);
    eraseDefaults(text, defaults);
    return jsonText(text);
}

StatusOr<ExchangeRequest> readRequest(std::string_view text)
{
    if (Status size = checkJsonSize(text, "exchange"); !size.ok())
        return size;
    auto fast = RequestReader::read(text);
    auto request = fast ? StatusOr<ExchangeRequest>(*std::move(fast))
                        : parseAs<ExchangeRequest>(text, "exchange");
    if (!request.ok())
        return request;
    for (const auto &[field, name] :
         {std::pair("agent", &request->agent), std::pair("session", &request->session)}) {
        if (name->size() > maxAgentNameBytes)
            return makeError(ErrorKind::InvalidRequest,
                             std::string("exchange: ") + field + " has more than " +
                                 std::to_string(maxAgentNameBytes) + " bytes");
    }
    const Status valid = validateFacts(request->facts);
    if (!valid.ok())
        return valid;
    return request;
}

} // namespace lavenderarch
