// Inputs of a cell's planning besides its ledger.
#pragma once

#include "lavenderarch/config/manifest.h"

#include <memory>

namespace lavenderarch {

/// Value type. `horizon` is the committed time up to which leases may be granted.
struct CellConditions
{
    std::shared_ptr<const Manifest> manifest;
    bool dataCentreOut = false; ///< the data centre is out of service
    bool canTransfer = false;   ///< another cell can take queued tasks
    /// When the data centre last returned to service; zero if it is out or never was.
    TimePoint inServiceSince;
    TimePoint horizon;
    std::int64_t epoch = 0;
    int cells = 1; ///< cells of the deployment

    friend bool operator==(const CellConditions &, const CellConditions &) = default;
};

} // namespace lavenderarch
