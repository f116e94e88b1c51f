// Baseline policy for benchmarks.
#include "lavenderarch/scheduling/plain_policy.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr double slowThreshold = 1.3;

} // namespace

int PlainPolicy::selectWorker(const LedgerTask &, const Resources &reserved,
                              const WorkerViews &views, double, TimePoint) const
{
    for (std::size_t index = 0; index < views.size(); ++index) {
        if (reserved.fitsInto(views[index]->free()))
            return static_cast<int>(index);
    }
    return -1;
}

MitigationCandidate PlainPolicy::candidate(const WorkerView &, const LedgerTask &task,
                                           const TaskReport &, TimePoint) const
{
    // Orders by age: the newest placement has the latest start-by time and so the highest harm.
    return {task.id, static_cast<double>(toEpochMs(task.startBy)), 0, 1};
}

std::vector<MitigationAction>
PlainPolicy::respond(const WorkerView &, double worstSlowdown,
                     const std::vector<MitigationCandidate> &candidates, TimePoint) const
{
    if (worstSlowdown <= slowThreshold || candidates.empty())
        return {};
    const auto newest =
        std::max_element(candidates.begin(), candidates.end(),
                         [](const MitigationCandidate &left, const MitigationCandidate &right) {
                             return left.harm < right.harm;
                         });
    return {{MitigationAction::Kind::Evict, newest->task, 1}};
}

} // namespace lavenderarch
