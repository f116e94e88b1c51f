// Typed values of table rows.
#pragma once

#include "lavenderarch/core/json.h"
#include "lavenderarch/storage/table_row.h"

namespace lavenderarch {

/// The JSON value of `row` as `Value`; the error names the row and the field.
template <typename Value>
StatusOr<Value> parseRow(const TableRow &row)
{
    const auto parsed = parseJson(row.value, row.key);
    if (!parsed.ok())
        return parsed.status();
    return fromJson<Value>(*parsed, row.key);
}

} // namespace lavenderarch
