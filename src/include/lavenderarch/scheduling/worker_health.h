// Finds workers that fail everything they start.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/time.h"

#include <map>
#include <set>

namespace lavenderarch {

/// A worker that fails tasks of several jobs in a row without a success is quarantined for a time
/// that doubles; afterwards it gets one task at a time until one succeeds. Not thread-safe.
class WorkerHealth
{
public:
    void noteFailure(const WorkerId &worker, const JobKey &job, TimePoint now);
    void noteSuccess(const WorkerId &worker);

    bool isQuarantined(const WorkerId &worker, TimePoint now) const;
    /// True after a quarantine until the first success: place one task at a time.
    bool isOnProbation(const WorkerId &worker) const;

private:
    struct Entry
    {
        std::set<JobKey> failedJobs;
        int consecutiveFailures = 0;
        int quarantines = 0;
        TimePoint quarantinedUntil;
    };

    std::map<WorkerId, Entry> m_entries;
};

} // namespace lavenderarch
