// One row of the platform's table service.
#pragma once

#include "lavenderarch/core/json.h"

#include <cstdint>
#include <string>

namespace lavenderarch {

/// Value type. `version` is set by the service and grows with each write of the row; 0 = absent.
struct TableRow
{
    std::string key;
    std::string value;
    std::int64_t version = 0;

    friend bool operator==(const TableRow &, const TableRow &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(TableRow, key, value, version)
};

} // namespace lavenderarch
