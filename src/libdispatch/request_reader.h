// Reads an agent's message without building a JSON tree.
#pragma once

#include "lavenderarch/dispatch/exchange_request.h"

#include <array>
#include <optional>

namespace lavenderarch {

/// Takes the events of the JSON parser. The overrides return false, which ends the parsing, at
/// anything that requestText() does not write, such as an unknown key or a value of another type.
class RequestReader final : public Json::json_sax_t
{
public:
    /// Nothing if the text is not as requestText() writes it.
    static std::optional<ExchangeRequest> read(std::string_view text);

    bool null() override { return false; }
    bool boolean(bool value) override;
    bool number_integer(std::int64_t value) override;
    bool number_unsigned(std::uint64_t value) override;
    bool number_float(double, const std::string &) override { return false; }
    bool string(std::string &value) override;
    bool binary(Json::binary_t &) override { return false; }
    bool start_object(std::size_t) override;
    bool key(std::string &key) override;
    bool end_object() override;
    bool start_array(std::size_t) override;
    bool end_array() override;
    bool parse_error(std::size_t, const std::string &, const Json::exception &) override
    {
        return false;
    }

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
