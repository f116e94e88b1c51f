// State of a worker in a cell's ledger.
#pragma once

#include "lavenderarch/storage/worker_info.h"

#include <set>

namespace lavenderarch {

/// Value type. Invariant: `used` is the sum of the reservations of `tasks` and fits the capacity.
struct LedgerWorker
{
    WorkerInfo info;
    Resources used;
    std::set<TaskId> tasks;

    Resources free() const { return info.capacity - used; }

    friend bool operator==(const LedgerWorker &, const LedgerWorker &) = default;
};

} // namespace lavenderarch
