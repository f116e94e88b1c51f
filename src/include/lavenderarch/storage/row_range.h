// Rows read from a snapshot, or the changes since a version.
#pragma once

#include "lavenderarch/storage/row.h"

#include <vector>

namespace lavenderarch {

/// `version` is the newest store version that the rows reflect; follow() continues from there.
struct RowRange
{
    std::vector<Row> rows;
    std::int64_t version = 0;

    friend bool operator==(const RowRange &, const RowRange &) = default;
};

} // namespace lavenderarch
