// Sets the paces of best-effort runs so that serving tasks on the minion meet their tail targets.
#pragma once

#include "lavenderarch/dispatch/run_ledger.h"

#include <string>
#include <vector>

namespace lavenderarch {

/// A change of a run's pace: the share of its full speed at which it may run from now on.
struct PaceChange
{
    RunKey run;
    int percent = 100;   ///< 0: paused
    std::string serving; ///< serving task for which the pace is lowered; empty: none
    double headroom = 0; ///< newest measured headroom of that task

    friend bool operator==(const PaceChange &, const PaceChange &) = default;
};

/// Pace changes for the minion of `ledger`, from its newest measurements.
std::vector<PaceChange> decidePaces(const RunLedger &ledger, BootTime now);

} // namespace lavenderarch
