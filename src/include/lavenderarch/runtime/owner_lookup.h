// Looks up the owner of a cell.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/owner_record.h"
#include "lavenderarch/storage/row_store.h"

#include <optional>

namespace lavenderarch {

/// The address in the owner row; nothing if the row cannot be read, names none, or the cell is
/// released.
template <RowStore Store>
std::optional<Address> readOwnerAddress(Store &store, const std::string &cell, BootTime deadline)
{
    const auto row = store.readOne(cells::ownerRowKey(cell), deadline);
    if (!row.ok() || row->version == 0)
        return std::nullopt;
    const auto record = parseAs<OwnerRecord>(row->value, "owner row");
    if (!record.ok() || record->released)
        return std::nullopt;
    const auto address = Address::parse(record->address);
    return address.ok() ? std::optional(*address) : std::nullopt;
}

} // namespace lavenderarch
