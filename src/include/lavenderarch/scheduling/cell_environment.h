// What a cell owner learns from its process before each round.
#pragma once

#include "lavenderarch/config/manifest.h"
#include "lavenderarch/storage/worker_info.h"

#include <memory>
#include <vector>

namespace lavenderarch {

/// Value type. `workers`: the cell's workers by the cell map. `transferTargets`: cells of data
/// centres that are in, best first, this cell left out. `mayTakeOver`: this process is the one
/// that should own the cell when it is free.
struct CellEnvironment
{
    std::shared_ptr<const Manifest> manifest;
    std::vector<WorkerInfo> workers;
    std::vector<CellId> transferTargets;
    int cells = 1;
    bool mayTakeOver = true;

    friend bool operator==(const CellEnvironment &, const CellEnvironment &) = default;
};

} // namespace lavenderarch
