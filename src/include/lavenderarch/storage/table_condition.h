// Condition of a transaction on one row.
#pragma once

#include "lavenderarch/core/json.h"

#include <cstdint>
#include <string>

namespace lavenderarch {

/// The row `key` must have exactly `version`; 0 requires that it does not exist.
struct TableCondition
{
    std::string key;
    std::int64_t version = 0;

    friend bool operator==(const TableCondition &, const TableCondition &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(TableCondition, key, version)
};

} // namespace lavenderarch
