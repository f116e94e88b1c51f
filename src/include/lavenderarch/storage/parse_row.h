// Parsing of table row values.
#pragma once

#include "lavenderarch/core/json.h"
#include "lavenderarch/storage/table_row.h"

namespace lavenderarch {

/// Parses the JSON value of `row` as `Value`; the error names the row and the field.
template <typename Value>
StatusOr<Value> parseRow(const TableRow &row)
{
    return parseAs<Value>(row.value, row.key);
}

} // namespace lavenderarch
