// Typed values of table rows.
#pragma once

#include "lavenderarch/core/json.h"
#include "lavenderarch/storage/table_row.h"

namespace lavenderarch {

/// The JSON value of `row` as `Value`; the error names the row and the field.
template <typename Value>
StatusOr<Value> parseRow(const TableRow &row)
{
    return parseAs<Value>(row.value, row.key);
}

} // namespace lavenderarch
