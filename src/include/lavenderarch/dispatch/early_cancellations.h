// Cancellations that a cell's owner has read without the jobs that they are for.
#pragma once

#include "lavenderarch/core/boot_clock.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lavenderarch {

/// Makes the effect of a cancellation independent of the order in which rows are read: the change
/// feed returns a job before its cancellation, but a read of the whole table returns rows in the
/// order of their keys. Not thread-safe.
class EarlyCancellations
{
public:
    /// Keeps the cancellation of `job` until `expires`. False, without an effect, if it is kept
    /// already.
    bool add(const std::string &job, BootTime expires);
    /// Forgets the cancellation of `job`. False if there is none.
    bool take(const std::string &job);
    /// Forgets a cancellation that has expired by `now` and returns its job.
    std::optional<std::string> takeExpired(BootTime now);

private:
    std::map<std::string, BootTime> m_expiries; // by job
    /// The entries of m_expiries in the order of add(), and some that were taken since.
    std::deque<std::pair<BootTime, std::string>> m_added;
};

} // namespace lavenderarch
