// Progress of the part of a job that was assigned to one cell.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Value type. In a ledger it holds what is not reported yet, in the row `jobpart/<job>/<cell>`
/// what is. `added` counts tasks that the cell received, `moved` those handed to other cells;
/// `done`, `failed` and `cancelled` count ended tasks. Invariant: done + failed + cancelled + moved
/// <= added.
struct JobProgress
{
    JobKey job;
    CustomerName customer;
    std::int64_t added = 0;
    std::int64_t moved = 0;
    std::int64_t done = 0;
    std::int64_t failed = 0;
    std::int64_t cancelled = 0;
    std::int64_t refund = 0; ///< voucher units of cancelled tasks that never started
    std::string lastReason;

    /// Tasks that the cell no longer holds, moved ones included.
    std::int64_t ended() const { return moved + done + failed + cancelled; }
    /// Tasks that the cell still holds, queued or placed.
    std::int64_t unfinished() const { return added - ended(); }

    friend bool operator==(const JobProgress &, const JobProgress &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(JobProgress, job, customer, added, moved, done, failed,
                                   cancelled, refund, lastReason)
};

} // namespace lavenderarch
