// Field of a structured log line.
#pragma once

#include <string>
#include <string_view>

namespace lavenderarch {

/// One named value of a log line, such as {"request", id}.
struct LogField
{
    std::string_view name;
    std::string value;

    friend bool operator==(const LogField &, const LogField &) = default;
};

} // namespace lavenderarch
