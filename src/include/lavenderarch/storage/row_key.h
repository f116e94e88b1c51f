// One row of a partitioned, transactional table store.
#pragma once

#include <cstdint>
#include <string>

namespace lavenderarch {

/// Names a row. Rows with the same `partition` can change in one transaction.
struct RowKey
{
    std::string table;
    std::string partition;
    std::string key;

    friend auto operator<=>(const RowKey &,
                            const RowKey &) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace lavenderarch
