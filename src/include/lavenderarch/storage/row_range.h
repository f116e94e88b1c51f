// Rows read at one moment, or the changes since a moment.
#pragma once

#include "lavenderarch/storage/row.h"

#include <vector>

namespace lavenderarch {

/// `version` is the store's newest version that the rows reflect: follow() continues from there.
struct RowRange
{
    std::vector<Row> rows;
    std::int64_t version = 0;

    friend bool operator==(const RowRange &, const RowRange &) = default;
};

} // namespace lavenderarch
