// Atomic, conditional change of several rows.
#pragma once

#include "lavenderarch/storage/table_condition.h"
#include "lavenderarch/storage/table_write.h"

#include <vector>

namespace lavenderarch {

/// Either all writes take effect, when all conditions hold, or none does.
struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;

    friend bool operator==(const TableTransaction &, const TableTransaction &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(TableTransaction, conditions, writes)
};

} // namespace lavenderarch
