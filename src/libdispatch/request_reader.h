// Reads an agent's message without building a JSON tree.
#pragma once

#include "lavenderarch/dispatch/exchange_request.h"

#include <array>
#include <optional>

namespace lavenderarch {

/// Takes the events of the JSON parser, whose interface gives the names and arguments of the public
/// functions. They return false, which ends the parsing, at anything that requestText() does not
/// write, such as an unknown key or a value of another type.
class RequestReader
{
public:
    /// Nothing if the text is not as requestText() writes it.
    static std::optional<ExchangeRequest> read(std::string_view text);

    bool null() { return false; }
    bool boolean(bool value);
    bool number_integer(std::int64_t value);
    bool number_unsigned(std::uint64_t value);
    bool number_float(double, const std::string &) { return false; }
    bool string(std::string &value);
    bool binary(Json::binary_t &) { return false; }
    bool start_object(std::size_t);
    bool key(std::string &key);
    bool end_object();
    bool start_array(std::size_t);
    bool end_array();
    bool parse_error(std::size_t, const std::string &, const Json::exception &) { return false; }

private:
    /// What the parser is in.
    enum class Part {
        Nothing,
        Request,
        Incarnation,
        Facts,
        FactsIncarnation,
        Capacity,
        Labels,
        Runs,
        Run,
        Ends,
        End,
        EndRun
    };
    static constexpr std::size_t maxDepth = 5;
    /// Number of values that describe a run.
    static constexpr std::size_t runValues = 8;

    Part part() const { return m_parts[m_depth]; }
    bool enter(Part part);
    /// Part that an object or array with the newest key is, given the part that it is in.
    Part inner() const;

    ExchangeRequest m_request;
    std::array<Part, maxDepth> m_parts{};
    std::size_t m_depth = 0;
    std::string m_key;
    std::size_t m_values = 0; // read of the current Run or EndRun
    std::array<std::int64_t, 3> m_capacity{};
};

} // namespace lavenderarch
