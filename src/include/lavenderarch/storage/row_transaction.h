// Atomic, conditional change of rows of one partition.
#pragma once

#include "lavenderarch/storage/row_condition.h"
#include "lavenderarch/storage/row_write.h"

#include <vector>

namespace lavenderarch {

/// Either all writes take effect, when all conditions hold, or none does.
struct RowTransaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;

    friend bool operator==(const RowTransaction &, const RowTransaction &) = default;
};

} // namespace lavenderarch
