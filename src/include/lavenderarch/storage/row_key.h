// Key of a row in a partitioned, transactional store.
#pragma once

#include <cstdint>
#include <string>

namespace lavenderarch {

/// Identifies a row. One transaction can change rows that share a `partition`.
struct RowKey
{
    std::string table;
    std::string partition;
    std::string key;

    friend auto operator<=>(const RowKey &,
                            const RowKey &) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace lavenderarch
