// Header fields with case-insensitive names.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavenderarch {

/// Ordered header fields. Not thread-safe.
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<Field> fields)
        : m_fields(fields)
    {
    }

    /// Replaces the field `name`, or adds it.
    void set(std::string name, std::string value);
    std::optional<std::string> find(std::string_view name) const;
    const std::vector<Field> &fields() const { return m_fields; }

    friend bool operator==(const HttpHeaders &, const HttpHeaders &) = default;

private:
    std::vector<Field> m_fields;
};

} // namespace lavenderarch
