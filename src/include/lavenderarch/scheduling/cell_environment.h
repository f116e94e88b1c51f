// Inputs that a cell owner gets from its process for each round.
#pragma once

#include "lavenderarch/config/manifest.h"
#include "lavenderarch/storage/worker_info.h"

#include <memory>
#include <vector>

namespace lavenderarch {

/// Value type. `workers`: the workers that the cell map assigns to the cell. `transferTargets`:
/// cells of data centres in service, best first, without this cell. `mayTakeOver`: this process is
/// the one that should own the cell when it has no owner.
struct CellEnvironment
{
    std::shared_ptr<const Manifest> manifest;
    std::vector<WorkerInfo> workers;
    std::vector<CellId> transferTargets;
    int cells = 1; ///< cells of the deployment
    bool mayTakeOver = true;

    friend bool operator==(const CellEnvironment &, const CellEnvironment &) = default;
};

} // namespace lavenderarch
