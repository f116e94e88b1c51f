// Baseline policy for benchmarks: first fit by declared resources, evicts the newest task.
#pragma once

#include "lavenderarch/scheduling/scheduling_policy.h"

namespace lavenderarch {

/// Uses declared resources only and learns neither usage nor interference. For benchmarks only; the
/// functions are described at the SchedulingPolicy concept.
class PlainPolicy
{
public:
    Resources reservation(const TaskSpec &spec, const Resources &) const { return spec.resources; }
    int selectWorker(const LedgerTask &task, const Resources &reserved, const WorkerViews &views,
                     double tailWeight, TimePoint now) const;
    void learn(const WorkerView &, const LedgerTask &, const TaskReport &, TimePoint) {}
    void learnRunTime(const LedgerTask &, TimePoint) {}
    MitigationCandidate candidate(const WorkerView &view, const LedgerTask &task,
                                  const TaskReport &report, TimePoint now) const;
    std::vector<MitigationAction> respond(const WorkerView &view, double worstSlowdown,
                                          const std::vector<MitigationCandidate> &candidates,
                                          TimePoint now) const;
};

static_assert(SchedulingPolicy<PlainPolicy>);

} // namespace lavenderarch
