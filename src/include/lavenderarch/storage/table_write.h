// Write of one row within a transaction.
#pragma once

#include "lavenderarch/core/json.h"

#include <string>

namespace lavenderarch {

/// Puts `value` into the row `key`, or removes the row when `remove` is set.
struct TableWrite
{
    std::string key;
    std::string value;
    bool remove = false;

    friend bool operator==(const TableWrite &, const TableWrite &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(TableWrite, key, value, remove)
};

} // namespace lavenderarch
