// One decision of the dispatcher, for the log.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lavenderarch {

/// Value type. `fields` hold the inputs of the decision and their age or version.
struct DispatchEvent
{
    std::string message;
    std::vector<std::pair<std::string, std::string>> fields;

    friend bool operator==(const DispatchEvent &, const DispatchEvent &) = default;
};

} // namespace lavenderarch
