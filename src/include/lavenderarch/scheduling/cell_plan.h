// What a cell's owner wants to commit next.
#pragma once

#include "lavenderarch/scheduling/ledger_change.h"

namespace lavenderarch {

/// `changes` take effect only once committed. `transfers` are the tasks of the TaskMoved changes,
/// as they join another cell. `hasPlacements` tells that the plan holds placements, whose commit
/// must check the data centre's row.
struct CellPlan
{
    std::vector<LedgerChange> changes;
    std::vector<LedgerTask> transfers;
    bool hasPlacements = false;

    friend bool operator==(const CellPlan &, const CellPlan &) = default;
};

} // namespace lavenderarch
