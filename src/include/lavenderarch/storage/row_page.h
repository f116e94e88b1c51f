// One page of a read of a partition.
#pragma once

#include "lavenderarch/storage/row_range.h"

namespace lavenderarch {

/// Value type. The rows reflect a single moment.
struct RowPage
{
    RowRange range;
    bool more = false; ///< further rows follow

    friend bool operator==(const RowPage &, const RowPage &) = default;
};

} // namespace lavenderarch
