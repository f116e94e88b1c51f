// What a reload of a followed table has read.
#pragma once

#include <cstddef>
#include <cstdint>

namespace lavenderarch {

/// Value type.
struct ReloadedTable
{
    std::int64_t version = 0; ///< version to follow from
    std::size_t rows = 0;

    friend bool operator==(const ReloadedTable &, const ReloadedTable &) = default;
};

} // namespace lavenderarch
