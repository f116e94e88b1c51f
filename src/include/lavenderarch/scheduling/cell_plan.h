// The changes that a cell's owner is about to commit.
#pragma once

#include "lavenderarch/scheduling/ledger_change.h"

namespace lavenderarch {

/// `changes` take effect only once committed. `transfers` are the tasks of the TaskMoved changes,
/// in the form in which another cell queues them. `hasPlacements` is true if the plan contains
/// placements; the commit must then be conditional on the data centre's row.
struct CellPlan
{
    std::vector<LedgerChange> changes;
    std::vector<LedgerTask> transfers;
    bool hasPlacements = false;

    friend bool operator==(const CellPlan &, const CellPlan &) = default;
};

} // namespace lavenderarch
