// One row of a partitioned, transactional table store.
#pragma once

#include "lavenderarch/storage/row_key.h"

namespace lavenderarch {

/// Value type. `version` grows with each write of the row; 0 means that the row does not exist.
struct Row
{
    RowKey key;
    std::string value;
    std::int64_t version = 0;
    bool removed = false; ///< the row was deleted; set only in changes from RowStore::follow

    friend bool operator==(const Row &, const Row &) = default;
};

} // namespace lavenderarch
