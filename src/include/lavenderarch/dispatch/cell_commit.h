// What the owner of a cell wants stored in one transaction.
#pragma once

#include "lavenderarch/storage/row_write.h"

#include <vector>

namespace lavenderarch {

/// Value type. The owner's fence is added by whoever commits it.
struct CellCommit
{
    std::vector<RowWrite> writes;

    friend bool operator==(const CellCommit &, const CellCommit &) = default;
};

} // namespace lavenderarch
