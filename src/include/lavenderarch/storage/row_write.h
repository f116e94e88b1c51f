// One write of a row transaction.
#pragma once

#include "lavenderarch/storage/row_key.h"

namespace lavenderarch {

/// Puts `value` into the row, or deletes the row when `remove` is set.
struct RowWrite
{
    RowKey key;
    std::string value;
    bool remove = false;

    friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

} // namespace lavenderarch
