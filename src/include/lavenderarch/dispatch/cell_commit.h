// The rows that the owner of a cell writes and removes in one commit.
#pragma once

#include "lavenderarch/storage/row_write.h"

#include <vector>

namespace lavenderarch {

/// Value type. It does not contain the owner's fence, which the committing code adds.
struct CellCommit
{
    std::vector<RowWrite> writes;
    /// Rows of the inbox partition, written or removed once `writes` are stored.
    std::vector<RowWrite> inboxWrites;

    friend bool operator==(const CellCommit &, const CellCommit &) = default;
};

} // namespace lavenderarch
