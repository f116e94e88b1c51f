// How far the part of a job has come that one cell was given.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

/// Value type, used in a ledger for what was not reported yet and in the row `jobpart/<job>/<cell>`
/// for what was. `added` counts tasks taken in, `moved` those handed to other cells; the rest of
/// the counts are ends. Invariant: done + failed + cancelled + moved <= added.
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

    std::int64_t ended() const { return moved + done + failed + cancelled; }
    std::int64_t unfinished() const { return added - ended(); }

    friend bool operator==(const JobProgress &, const JobProgress &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(JobProgress, job, customer, added, moved, done, failed,
                                   cancelled, refund, lastReason)
};

} // namespace lavenderarch
