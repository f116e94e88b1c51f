// The cell owner's view of a serving run.
#pragma once

#include "lavenderarch/dispatch/tail_headroom.h"

#include <string>

namespace lavenderarch {

/// A run with a tail latency target.
struct ServingRun
{
    std::string image;
    TailHeadroom headroom;
    /// Moving average of the baseline headroom over some seconds; 0: not known yet.
    double averageHeadroom = 0;
    /// What the best-effort runs on the minion would leave of it above the target at full pace.
    double freeHeadroom = 0;
};

} // namespace lavenderarch
