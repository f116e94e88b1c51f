// The order in which queued tasks are considered for placement.
#pragma once

#include "lavenderarch/config/manifest.h"
#include "lavenderarch/scheduling/cell_ledger.h"

#include <vector>

namespace lavenderarch {

/// Up to `limit` queued tasks in weighted fair order: urgent tasks first, then services, then batch
/// tasks. Within a priority, the customer with the lowest ratio of running tasks to share comes
/// next; within a customer, the task that has been queued longest. Tasks beyond a customer's quota
/// of running tasks are left out; `cells` is the number of cells among which the quota is divided.
std::vector<const LedgerTask *> fairOrder(const CellLedger &ledger, const Manifest &manifest,
                                          int cells, std::size_t limit);

} // namespace lavenderarch
