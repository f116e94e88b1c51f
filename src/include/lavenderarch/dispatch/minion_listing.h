// A minion's answer to a lease renewal: what runs and what ended.
#pragma once

#include "lavenderarch/dispatch/run_end.h"

#include <vector>

namespace lavenderarch {

/// Value type.
struct MinionListing
{
    /// One active run.
    struct Active
    {
        RunKey run;
        std::string checkpoint;
        int progressPercent = 0;
        double load = 0; ///< of a serving task its tail latency in ms, else cores/1000 in use

        friend bool operator==(const Active &, const Active &) = default;
    };

    std::int64_t clockMs = 0; ///< the minion's own steady clock
    std::int64_t bornMs = 0;  ///< life that answered; 0 when it does not say
    std::vector<Active> active;
    std::vector<RunEnd> ends;

    friend bool operator==(const MinionListing &, const MinionListing &) = default;
};

} // namespace lavenderarch
