// Quarantines workers on which tasks of several jobs fail.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/time.h"

#include <map>
#include <set>

namespace lavenderarch {

/// A worker on which several tasks of more than one job fail consecutively is quarantined; failures
/// of a single job do not suffice. Afterwards it is on probation and gets one task at a time: a
/// failure quarantines it again for twice the time, up to a limit, and a success ends the
/// probation. Not thread-safe.
class WorkerHealth
{
public:
    void noteFailure(const WorkerId &worker, const JobKey &job, TimePoint now);
    void noteSuccess(const WorkerId &worker);

    bool isQuarantined(const WorkerId &worker, TimePoint now) const;
    /// True from the first quarantine until the next success: place one task at a time.
    bool isOnProbation(const WorkerId &worker) const;

private:
    struct Record
    {
        std::set<JobKey> failedJobs;
        int consecutiveFailures = 0;
        int quarantines = 0;
        TimePoint quarantinedUntil;
    };

    std::map<WorkerId, Record> m_records;
};

} // namespace lavenderarch
