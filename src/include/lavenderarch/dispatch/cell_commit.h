// What the owner of a cell wants stored.
#pragma once

#include "lavenderarch/storage/row_write.h"

#include <vector>

namespace lavenderarch {

/// Value type. The owner's fence is added by whoever commits it.
struct CellCommit
{
    std::vector<RowWrite> writes;
    std::vector<RowWrite> inboxRemovals; ///< in the inbox partition, once the rest is stored

    friend bool operator==(const CellCommit &, const CellCommit &) = default;
};

} // namespace lavenderarch
