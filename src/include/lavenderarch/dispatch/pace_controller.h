// Paces filling tasks so that serving tasks beside them keep their tail latency.
#pragma once

#include "lavenderarch/dispatch/run_ledger.h"

#include <string>
#include <vector>

namespace lavenderarch {

/// A run and the share of its work that it may do from now on.
struct PaceChange
{
    RunKey run;
    int percent = 100;
    std::string serving; ///< task for whose sake the pace is lowered; empty: none asks for less
    double headroom = 0; ///< newest figure of that task

    friend bool operator==(const PaceChange &, const PaceChange &) = default;
};

/// Paces to set on the minion of `ledger`, by its newest figures.
std::vector<PaceChange> decidePaces(const RunLedger &ledger, BootTime now);

} // namespace lavenderarch
