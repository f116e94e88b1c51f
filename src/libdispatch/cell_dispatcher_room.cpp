// Division of the room between long-running and short tasks. Short tasks take each small room at
// once, so that a long-running task that needs a larger one would never find it under load; and
// long-running tasks stay, so that they would leave short ones no room.
#include "lavenderarch/dispatch/cell_dispatcher.h"

#include "placement.h"
#include "step_tasks.h"

#include <algorithm>
#include <tuple>

namespace lavenderarch {
namespace {

/// Most minions on which room is kept, as a share of all and at least one.
constexpr std::size_t minionsPerKeptRoom = 12;
/// Short tasks are left this part more than they have needed.
constexpr std::int64_t shortMarginPercent = 20;
/// Largest share of the processors that long-running tasks leave to short ones.
constexpr std::int64_t maxShortPercent = 10;
/// Part of the highest need that is still counted after one tick, so that most of the room is given
/// to long-running tasks two seconds after the short ones have ended.
constexpr std::int64_t shortDecayPercent = 80;

} // namespace

std::int64_t CellDispatcher::waitingShortMilliCores() const
{
    std::int64_t sum = 0;
    for (const auto &[key, job] : m_waitingJobs) {
        for (const JobModel::WaitingStep &waiting : job->waitingSteps()) {
            const StepSpec &step = job->spec().steps[waiting.step];
            if (step.longRunning || step.bestEffort)
                continue;
            for (const TaskState &task : job->occurrences().at(waiting.occurrence)[waiting.step])
                sum = saturatingSum(sum, task.phase == TaskPhase::Waiting ? step.demand.milliCores()
                                                                          : 0);
        }
    }
    return sum;
}

void CellDispatcher::updateLongRunningLimit(BootTime now)
{
    std::int64_t capacity = 0;
    std::int64_t longRunning = 0;
    std::int64_t needed = waitingShortMilliCores();
    for (const auto &[agent, view] : m_minions) {
        needed = saturatingSum(needed, (view.used - view.usedByLongRunning).milliCores());
        if (!view.registered || view.facts.draining || !isFresh(view, now) ||
            m_closedDataCentres.count(view.facts.dataCentre) != 0)
            continue;
        capacity = saturatingSum(capacity, view.facts.capacity.milliCores());
        longRunning = saturatingSum(longRunning, view.usedByLongRunning.milliCores());
    }
    m_shortMilliCores = std::max(needed, m_shortMilliCores / 100 * shortDecayPercent);
    const std::int64_t left = std::min(m_shortMilliCores / 100 * (100 + shortMarginPercent),
                                       capacity / 100 * maxShortPercent);
    m_longRunningMilliCores = longRunning;
    m_longRunningLimit = capacity - left;
    // No minion gains room when the limit rises, so that the next pass would leave them out.
    if (std::exchange(m_longRunningHeldBack, false)) {
        ++m_roomVersion;
        m_placementDue = true;
    }
}

/// The first task may take nearly the whole cell.
bool CellDispatcher::mayRunLong(const StepSpec &step) const
{
    return m_longRunningMilliCores == 0 ||
           saturatingSum(m_longRunningMilliCores, reservedDemand(step).milliCores()) <=
               m_longRunningLimit;
}

void CellDispatcher::keepRoom(BootTime now)
{
    struct KeptRoom
    {
        MinionView *view;
        std::string job;
        Resources room;
    };
    std::vector<KeptRoom> keptBefore;
    for (auto &[agent, view] : m_minions) {
        if (!view.keptForJob.empty())
            keptBefore.push_back({&view, view.keptForJob, view.keptRoom});
        view.keptForJob.clear();
        view.keptRoom = Resources();
    }
    m_keptRoomJobs.clear();
    auto left = std::max<std::size_t>(m_minions.size() / minionsPerKeptRoom, 1);
    for (const auto &[key, job] : m_waitingJobs) {
        for (const JobModel::WaitingStep &waiting : job->waitingSteps()) {
            const StepSpec &step = job->spec().steps[waiting.step];
            if (left > 0 && step.longRunning && !step.gang)
                left -= keepRoomFor(*job, waiting, now, left);
        }
    }
    // The new job gains room when the job changes, all others when the kept room is smaller.
    for (const KeptRoom &before : keptBefore) {
        if (before.view->keptForJob != before.job || !before.room.fitsInto(before.view->keptRoom))
            roomGained(*before.view);
    }
}

/// Chooses the minions that lack the least room, at most `limit`; returns their number.
std::size_t CellDispatcher::keepRoomFor(const JobModel &job, const JobModel::WaitingStep &waiting,
                                        BootTime now, std::size_t limit)
{
    const StepSpec &step = job.spec().steps[waiting.step];
    const Resources demand = reservedDemand(step);
    if (!mayRunLong(step))
        return 0;
    const auto &tasks = job.occurrences().at(waiting.occurrence)[waiting.step];
    const std::map<std::string, int> sameStep = tasksPerAgent(tasks);
    const TaskState task;
    const PlacementRequest request{&job.spec(),          &step,        &task,
                                   &m_closedDataCentres, &m_tailModel, false};
    std::vector<std::pair<std::int64_t, MinionView *>> candidates; // by the processors they lack
    for (auto &[agent, view] : m_minions) {
        const auto same = sameStep.find(agent);
        const bool full =
            step.maxPerMinion > 0 && same != sameStep.end() && same->second >= step.maxPerMinion;
        if (full || !view.keptForJob.empty() || !fitsBesideLongRunning(view, request, now))
            continue;
        const Resources missing = view.used + demand - view.facts.capacity;
        candidates.emplace_back(std::max<std::int64_t>(missing.milliCores(), 0), &view);
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &one, const auto &other) {
        return std::tie(one.first, one.second->agent) < std::tie(other.first, other.second->agent);
    });
    candidates.resize(
        std::min({candidates.size(), static_cast<std::size_t>(waitingTasks(tasks)), limit}));
    for (const auto &[missing, view] : candidates) {
        view->keptForJob = job.spec().id;
        view->keptRoom = demand;
        m_keptRoomJobs.insert(job.spec().id);
    }
    return candidates.size();
}

} // namespace lavenderarch
