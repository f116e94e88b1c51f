// What a cell's owner knows of the world besides its ledger when it plans.
#pragma once

#include "lavenderarch/config/manifest.h"

#include <memory>

namespace lavenderarch {

/// Value type. `horizon` is the committed time up to which leases may be granted.
struct CellConditions
{
    std::shared_ptr<const Manifest> manifest;
    bool dataCentreOut = false;
    bool canTransfer = false; ///< another cell takes queued work
    TimePoint inServiceSince; ///< when the data centre was last brought back; zero: never out
    TimePoint horizon;
    std::int64_t epoch = 0;
    int cells = 1; ///< cells of the deployment

    friend bool operator==(const CellConditions &, const CellConditions &) = default;
};

} // namespace lavenderarch
