// Which workers form which cell of a data centre.
#pragma once

#include "lavenderarch/storage/worker_info.h"

#include <map>
#include <vector>

namespace lavenderarch {

inline constexpr std::size_t maxCellWorkers = 32;

/// Row `cellmap/<data centre>`. Cells are never renamed; a worker changes cells only by leaving the
/// platform's list and coming back.
struct CellMap
{
    DataCentreName dataCentre;
    std::map<CellId, std::vector<WorkerInfo>> cells;
    std::int64_t nextCell = 1; ///< number of the next new cell

    friend bool operator==(const CellMap &, const CellMap &) = default;
};

void to_json(Json &out, const CellMap &map);
void from_json(const Json &in, CellMap &map);

/// `current` adjusted to the platform's `workers` of the data centre: those that left are removed,
/// new ones go to the cell of their rack that has room, else to the smallest cell with room, else
/// to a new cell.
CellMap adjustCellMap(const CellMap &current, const std::vector<WorkerInfo> &workers);

} // namespace lavenderarch
