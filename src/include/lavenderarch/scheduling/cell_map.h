// Assignment of the workers of a data centre to cells.
#pragma once

#include "lavenderarch/storage/worker_info.h"

#include <map>
#include <vector>

namespace lavenderarch {

inline constexpr std::size_t maxCellWorkers = 32;

/// Row `cellmap/<data centre>`. Cells are never renamed; a worker can change cells only when it
/// disappears from the platform's worker list and returns.
struct CellMap
{
    DataCentreName dataCentre;
    std::map<CellId, std::vector<WorkerInfo>> cells;
    std::int64_t nextCell = 1; ///< number of the next new cell

    friend bool operator==(const CellMap &, const CellMap &) = default;
};

void to_json(Json &out, const CellMap &map);
void from_json(const Json &in, CellMap &map);

/// Returns `current` adjusted to the platform's list `workers` of the data centre. Workers that are
/// no longer listed are removed. A new worker goes to a cell with room that has workers of its
/// rack, else to the smallest cell with room, else to a new cell.
CellMap adjustCellMap(const CellMap &current, const std::vector<WorkerInfo> &workers);

} // namespace lavenderarch
