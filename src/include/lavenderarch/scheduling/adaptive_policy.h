// Scheduling policy that places tasks by learned resource usage and learned interference.
#pragma once

#include "lavenderarch/scheduling/scheduling_policy.h"
#include "lavenderarch/scheduling/size_estimator.h"

namespace lavenderarch {

/// The policy of the cell owners in lavender-entry; see docs/design/placement.md. The functions are
/// described at the SchedulingPolicy concept. Not thread-safe.
class AdaptivePolicy
{
public:
    Resources reservation(const TaskSpec &spec, const Resources &limit) const;
    int selectWorker(const LedgerTask &task, const Resources &reserved, const WorkerViews &views,
                     double tailWeight, TimePoint now) const;
    void learn(const WorkerView &view, const LedgerTask &task, const TaskReport &report,
               TimePoint now);
    void learnRunTime(const LedgerTask &task, TimePoint endedAt);
    MitigationCandidate candidate(const WorkerView &view, const LedgerTask &task,
                                  const TaskReport &report, TimePoint now) const;
    std::vector<MitigationAction> respond(const WorkerView &view, double worstSlowdown,
                                          const std::vector<MitigationCandidate> &candidates,
                                          TimePoint now);

    const InterferenceModel &interference() const { return m_interference; }

private:
    /// Cost of placing the task on the viewed worker; comparable between workers for the same task.
    double cost(const LedgerTask &task, const Resources &reserved, const WorkerView &view,
                double tailWeight, TimePoint now) const;

    InterferenceModel m_interference;
    SizeEstimator m_sizes;
    InterferenceMitigator m_mitigator;
};

static_assert(SchedulingPolicy<AdaptivePolicy>);

} // namespace lavenderarch
