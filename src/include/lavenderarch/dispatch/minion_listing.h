// A minion's answer to a lease renewal: its active runs and the ends not yet confirmed.
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
        double load = 0; ///< tail latency in ms of a serving task, else millicores in use

        friend bool operator==(const Active &, const Active &) = default;
    };

    std::int64_t clockMs = 0; ///< the minion's own steady clock
    std::int64_t bornMs = 0;  ///< incarnation that answered; 0 if the minion does not report it
    std::vector<Active> active;
    std::vector<RunEnd> ends; ///< the oldest that are not confirmed, by number
    /// Both lists are whole: no rows were left out, and there are no further ends. Otherwise a run
    /// that is in neither list may be active or have ended.
    bool complete = true;
    /// Rows left out since they name no run.
    std::size_t unreadableRows = 0;

    friend bool operator==(const MinionListing &, const MinionListing &) = default;
};

} // namespace lavenderarch
