// Reads an agent's message without building a JSON tree.
#include "request_reader.h"

namespace lavenderarch {
namespace {

template <typename Value>
struct Member
{
    std::string_view key;
    Value &target;
};

/// Assigns `value` to the member with the key; false if there is none.
template <typename Value, typename... Members>
bool assign(const std::string &key, Value &&value, Members &&...members)
{
    return ((key == members.key && ((members.target = std::forward<Value>(value)), true)) || ...);
}

} // namespace

std::optional<ExchangeRequest> RequestReader::read(std::string_view text)
{
    RequestReader reader;
    try {
        if (!Json::sax_parse(text, &reader))
            return std::nullopt;
    } catch (const Json::exception &) { // an unknown outcome
        return std::nullopt;
    }
    return std::move(reader.m_request);
}

bool RequestReader::enter(Part part)
{
    if (part == Part::Nothing || m_depth + 1 == maxDepth)
        return false;
    m_parts[++m_depth] = part;
    m_values = 0;
    return true;
}

RequestReader::Part RequestReader::inner() const
{
    switch (part()) {
    case Part::Request:
        return m_key == "ends"          ? Part::Ends
               : m_key == "runs"        ? Part::Runs
               : m_key == "facts"       ? Part::Facts
               : m_key == "incarnation" ? Part::Incarnation
                                        : Part::Nothing;
    case Part::Facts:
        return m_key == "life"       ? Part::FactsIncarnation
               : m_key == "capacity" ? Part::Capacity
               : m_key == "labels"   ? Part::Labels
                                     : Part::Nothing;
    case Part::Runs:
        return Part::Run;
    case Part::Ends:
        return Part::End;
    case Part::End:
        return m_key == "run" ? Part::EndRun : Part::Nothing;
    default:
        return Part::Nothing;
    }
}

bool RequestReader::start_object(std::size_t)
{
    if (m_depth == 0)
        return enter(Part::Request);
    const Part entered = inner();
    if (entered == Part::End)
        m_request.ends.emplace_back();
    return entered != Part::Runs && entered != Part::Run && entered != Part::Ends &&
           entered != Part::Labels && enter(entered);
}

bool RequestReader::end_object()
{
    if (part() == Part::Capacity)
        m_request.facts.capacity = Resources(m_capacity[0], m_capacity[1], m_capacity[2]);
    const bool complete = part() != Part::EndRun || m_values == 2;
    --m_depth;
    return complete;
}

bool RequestReader::start_array(std::size_t)
{
    const Part entered = m_depth == 0 ? Part::Nothing : inner();
    if (entered == Part::Run)
        m_request.runs.emplace_back();
    return (entered == Part::Runs || entered == Part::Run || entered == Part::Ends ||
            entered == Part::Labels) &&
           enter(entered);
}

bool RequestReader::end_array()
{
    const bool complete = part() != Part::Run || m_values == runValues;
    --m_depth;
    return complete;
}

bool RequestReader::key(std::string &key)
{
    std::swap(m_key, key);
    return true;
}

bool RequestReader::boolean(bool value)
{
    using Flag = Member<bool>;
    if (part() == Part::Request)
        return assign(m_key, value, Flag{"registered", m_request.registered},
                      Flag{"listed", m_request.listed}, Flag{"reachable", m_request.reachable},
                      Flag{"brief", m_request.brief});
    if (part() == Part::Facts)
        return assign(m_key, value, Flag{"draining", m_request.facts.draining});
    if (part() != Part::Run)
        return false;
    RunReport &run = m_request.runs.back();
    switch (m_values++) {
    case 5:
        run.starting = value;
        return true;
    case 6:
        run.undescribed = value;
        return true;
    default:
        return false;
    }
}

bool RequestReader::number_unsigned(std::uint64_t value)
{
    return value <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()) &&
           number_integer(static_cast<std::int64_t>(value));
}

bool RequestReader::number_integer(std::int64_t value)
{
    using Number = Member<std::int64_t>;
    const int number = static_cast<int>(value);
    switch (part()) {
    case Part::Request:
        return assign(m_key, value, Number{"number", m_request.number},
                      Number{"epoch", m_request.epoch}, Number{"orderSeen", m_request.orderSeen},
                      Number{"waitMs", m_request.waitMs}, Number{"snapshot", m_request.snapshot});
    case Part::Incarnation:
        return assign(m_key, value, Number{"bornMs", m_request.incarnation.bornMs});
    case Part::FactsIncarnation:
        return assign(m_key, value, Number{"bornMs", m_request.facts.incarnation.bornMs});
    case Part::Facts:
        return assign(m_key, value, Number{"remainingMs", m_request.facts.remainingMs});
    case Part::Capacity:
        return assign(m_key, value, Number{"milliCores", m_capacity[0]},
                      Number{"memoryMib", m_capacity[1]}, Number{"accelerators", m_capacity[2]});
    case Part::End:
        return assign(m_key, value, Number{"number", m_request.ends.back().number});
    case Part::EndRun:
        ++m_values;
        return number == value &&
               assign(m_key, number, Member<int>{"number", m_request.ends.back().run.number});
    case Part::Run:
        break;
    default:
        return false;
    }
    if (number != value)
        return false;
    RunReport &run = m_request.runs.back();
    switch (m_values++) {
    case 1:
        run.run.number = number;
        return true;
    case 2:
        run.progressPercent = number;
        return true;
    case 3:
        run.pacePercent = number;
        return true;
    case 7:
        run.load = number;
        return true;
    default:
        return false;
    }
}

bool RequestReader::string(std::string &value)
{
    using Text = Member<std::string>;
    switch (part()) {
    case Part::Request:
        return assign(m_key, std::move(value), Text{"agent", m_request.agent},
                      Text{"session", m_request.session});
    case Part::Incarnation:
        return assign(m_key, std::move(value), Text{"id", m_request.incarnation.id});
    case Part::FactsIncarnation:
        return assign(m_key, std::move(value), Text{"id", m_request.facts.incarnation.id});
    case Part::Facts:
        return assign(m_key, std::move(value), Text{"service", m_request.facts.service},
                      Text{"dataCentre", m_request.facts.dataCentre});
    case Part::Labels:
        m_request.facts.labels.push_back(std::move(value));
        return true;
    case Part::End: {
        RunEnd &end = m_request.ends.back();
        if (m_key == "outcome") {
            end.outcome = Json(value).get<RunOutcome>();
            return true;
        }
        return assign(m_key, std::move(value), Text{"checkpoint", end.checkpoint},
                      Text{"reason", end.reason});
    }
    case Part::EndRun:
        ++m_values;
        return assign(m_key, std::move(value), Text{"task", m_request.ends.back().run.task});
    case Part::Run: {
        RunReport &run = m_request.runs.back();
        const std::size_t index = m_values++;
        if (index == 0)
            run.run.task = std::move(value);
        else if (index == 4)
            run.checkpoint = std::move(value);
        return index == 0 || index == 4;
    }
    default:
        return false;
    }
}

} // namespace lavenderarch
