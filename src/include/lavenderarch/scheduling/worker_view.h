// A worker as a scheduling policy sees it.
#pragma once

#include "lavenderarch/scheduling/interference_model.h"
#include "lavenderarch/scheduling/ledger_worker.h"

#include <map>

namespace lavenderarch {

/// Value type, built from the ledger and the newest reports; does not own the worker. `loads` holds
/// the processors used per work class, as a share of the capacity; `services` holds the work class
/// of each service replica on the worker.
struct WorkerView
{
    const LedgerWorker *worker = nullptr;
    std::vector<ClassLoad> loads;
    std::vector<std::string> services;
    std::map<JobKey, int> replicas; ///< service replicas per job
    double load = 0;                ///< sum of the shares in `loads`
    Resources pending;              ///< placed by the current plan, not yet in the ledger

    Resources free() const { return worker->free() - pending; }

    friend bool operator==(const WorkerView &, const WorkerView &) = default;
};

/// The workers from which a policy selects; not owned.
using WorkerViews = std::vector<const WorkerView *>;

} // namespace lavenderarch
