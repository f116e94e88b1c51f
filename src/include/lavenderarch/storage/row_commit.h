// Result of a row transaction.
#pragma once

#include "lavenderarch/storage/row.h"

#include <vector>

namespace lavenderarch {

/// When not committed, `current` holds the rows named in the conditions as they are now; a row
/// that does not exist may be missing. `version` is the version of the written rows.
struct RowCommit
{
    bool committed = false;
    std::int64_t version = 0;
    std::vector<Row> current;

    friend bool operator==(const RowCommit &, const RowCommit &) = default;
};

} // namespace lavenderarch
