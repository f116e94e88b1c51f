// Condition of a row transaction.
#pragma once

#include "lavenderarch/storage/row_key.h"

namespace lavenderarch {

/// The row must have exactly `version`; 0 requires that it does not exist.
struct RowCondition
{
    RowKey key;
    std::int64_t version = 0;

    friend bool operator==(const RowCondition &, const RowCondition &) = default;
};

} // namespace lavenderarch
