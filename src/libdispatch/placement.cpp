// Checks which minions may run a task and scores them for placement.
#include "placement.h"

#include "lavenderarch/core/saturating.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Weights of the score terms; 1 is the capacity of an idle minion.
constexpr double rackWeight = 4;              // a task runs longer outside the rack of its data
constexpr double paceWeight = 2;              // of the expected pace of a best-effort task
constexpr double headroomLossWeight = 1;      // of the spare headroom that a best-effort task takes
constexpr double servingLossWeight = 0.3;     // of the headroom lost to best-effort tasks
constexpr double sameImageWeight = 2;         // best-effort tasks affect one image alike
constexpr double packWeight = 1;              // packs serving tasks on few minions
constexpr double servingMinionBonus = 0.5;    // regular tasks do not disturb serving tasks
constexpr double avoidPenalty = 8;            // tasks of several jobs failed there recently
constexpr double sameAgentFailurePenalty = 4; // the last run of this task failed there
constexpr double recentFailurePenalty = 0.5;  // some task failed there recently

/// Minimum expected share of its full pace at which a best-effort task is placed.
constexpr double minPace = 0.4;
/// Headroom at the tail target. Best-effort tasks may use what a serving task has above it; agents
/// keep a margin when they set the paces.
constexpr double targetHeadroom = 1.0;
/// Share of their declared processors that tasks other than best-effort ones use at peak load.
/// Best-effort tasks get the rest.
constexpr double peakUsedShare = 0.65;

bool hasLabel(const MinionView &view, const std::string &label)
{
    const auto &labels = view.facts.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

Resources committedResources(const MinionView &view)
{
    Resources sum = view.used;
    for (const auto &[run, demand] : view.unexpectedRuns)
        sum = sum + demand;
    return sum;
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

/// Largest share of its spare headroom that a serving task on the minion would lose to the
/// best-effort task at full pace; at most 1.
double worstLossShare(const MinionView &view, const StepSpec &step, const TailModel &tailModel)
{
    const double part = share(step.demand.milliCores(), view.facts.capacity.milliCores());
    double worst = 0;
    for (const auto &[run, serving] : view.serving) {
        const double loss = part * tailModel.weight(step.image, serving.image);
        const double free = serving.averageHeadroom - targetHeadroom;
        worst = std::max(worst, loss < free ? loss / free : 1);
    }
    return worst;
}

/// Similarity of the serving tasks on the minion to `image`: 1 when all run it, -1 when none does,
/// 0 when there are no serving tasks.
double imageAffinity(const MinionView &view, const std::string &image)
{
    if (view.serving.empty())
        return 0;
    const auto sameImage =
        std::count_if(view.serving.begin(), view.serving.end(),
                      [&](const auto &run) { return run.second.image == image; });
    return 2 * static_cast<double>(sameImage) / static_cast<double>(view.serving.size()) - 1;
}

/// Checks the placement constraints that do not depend on the room on the minion.
PlacementObstacle lastingObstacle(const MinionView &view, const PlacementRequest &request,
                                  BootTime now)
{
    const MinionFacts &facts = view.facts;
    if (!view.registered || !view.reachable || facts.draining || !isFresh(view, now) ||
        view.noRoomUntil != BootTime{})
        return PlacementObstacle::Unavailable;
    if (facts.service != request.job->service ||
        request.closedDataCentres->count(facts.dataCentre) != 0)
        return PlacementObstacle::Excluded;
    if (!request.step->requiredLabel.empty() && !hasLabel(view, request.step->requiredLabel))
        return PlacementObstacle::Excluded;
    return PlacementObstacle::None;
}

/// Checks all placement constraints except the expected pace of a best-effort task.
PlacementObstacle hardObstacle(const MinionView &view, const PlacementRequest &request,
                               BootTime now)
{
    const MinionFacts &facts = view.facts;
    const PlacementObstacle lasting = lastingObstacle(view, request, now);
    if (lasting != PlacementObstacle::None)
        return lasting;
    const Resources total = committedResources(view) + reservedDemand(*request.step);
    if (total.fitsInto(facts.capacity)) {
        const bool keptForOther = request.softConstraints && !view.keptForJob.empty() &&
                                  view.keptForJob != request.job->id;
        return keptForOther && !(total + view.keptRoom).fitsInto(facts.capacity)
                   ? PlacementObstacle::KeptRoom
                   : PlacementObstacle::None;
    }
    if (total.milliCores() > facts.capacity.milliCores())
        return PlacementObstacle::Processors;
    return total.memoryMib() > facts.capacity.memoryMib() ? PlacementObstacle::Memory
                                                          : PlacementObstacle::Accelerators;
}

bool isEligible(const MinionView &view, const PlacementRequest &request, BootTime now)
{
    return hardObstacle(view, request, now) == PlacementObstacle::None;
}

/// A best-effort task must not run at `pace` on the minion.
bool isTooSlow(const MinionView &view, const PlacementRequest &request, double pace)
{
    return request.softConstraints && !request.idleJob &&
           (view.tailTargetExceeded || pace < minPace);
}

/// Thousandths of a core that no regular or serving task has reserved.
std::int64_t unreservedMilliCores(const MinionView &view)
{
    return (view.facts.capacity - committedResources(view)).milliCores();
}

double bestEffortScore(const MinionView &view, const PlacementRequest &request, double pace)
{
    const std::int64_t spareMilliCores =
        saturatingDifference(unreservedMilliCores(view), view.bestEffortMilliCores);
    return paceWeight * pace + share(spareMilliCores, view.facts.capacity.milliCores()) -
           headroomLossWeight * worstLossShare(view, *request.step, *request.tailModel);
}

double servingScore(const MinionView &view, const PlacementRequest &request)
{
    const std::string &image = request.step->image;
    const double unused = share(unreservedMilliCores(view), view.facts.capacity.milliCores());
    return packWeight * (1 - unused) + sameImageWeight * imageAffinity(view, image) -
           servingLossWeight * request.tailModel->headroomLoss(image, view.fullPaceShares);
}

/// Score for a regular task, which is neither best-effort nor serving.
double regularScore(const MinionView &view)
{
    const Resources &capacity = view.facts.capacity;
    const double cores = share(unreservedMilliCores(view), capacity.milliCores());
    const double memory =
        share((capacity - committedResources(view)).memoryMib(), capacity.memoryMib());
    return std::min(cores, memory) + (view.serving.empty() ? 0 : servingMinionBonus) -
           share(view.bestEffortMilliCores, capacity.milliCores());
}

} // namespace

Resources reservedDemand(const StepSpec &step)
{
    return {step.bestEffort ? 0 : step.demand.milliCores(), step.demand.memoryMib(),
            step.demand.accelerators()};
}

void updateBestEffort(MinionView &view, const TailModel &tailModel)
{
    view.fullPaceShares.clear();
    view.bestEffortMilliCores = 0;
    for (const auto &[run, bestEffort] : view.bestEffort) {
        view.fullPaceShares[bestEffort.image] +=
            share(bestEffort.milliCores, view.facts.capacity.milliCores());
        view.bestEffortMilliCores = saturatingSum(view.bestEffortMilliCores, bestEffort.milliCores);
    }
    for (auto &[run, serving] : view.serving)
        serving.freeHeadroom = serving.averageHeadroom - targetHeadroom -
                               tailModel.headroomLoss(serving.image, view.fullPaceShares);
}

RunOrder makeOrder(OrderKind kind, const RunKey &run, const StepSpec &step)
{
    RunOrder order;
    order.kind = kind;
    order.run = run;
    order.bestEffort = step.bestEffort;
    order.tailTargetMs = step.tailTargetMs;
    order.image = step.image;
    order.milliCores = step.demand.milliCores();
    order.memoryMib = step.demand.memoryMib();
    order.accelerators = step.demand.accelerators();
    return order;
}

double expectedPace(const MinionView &view, const StepSpec &step, const TailModel &tailModel)
{
    const auto capacity = static_cast<double>(view.facts.capacity.milliCores());
    const auto wanted = static_cast<double>(step.demand.milliCores());
    if (capacity <= 0 || wanted <= 0)
        return 1;
    const double used = peakUsedShare * static_cast<double>(committedResources(view).milliCores());
    double pace = (capacity - used - static_cast<double>(view.bestEffortMilliCores)) / wanted;
    for (const auto &[run, serving] : view.serving) {
        if (serving.averageHeadroom <= 0)
            continue;
        const double loss = tailModel.weight(step.image, serving.image) * wanted / capacity;
        if (loss > serving.freeHeadroom)
            pace = std::min(pace, serving.freeHeadroom / loss);
    }
    return std::clamp(pace, 0.0, 1.0);
}

std::vector<TailWeight> tailWeights(const MinionView &view, const TailModel &tailModel)
{
    std::set<std::pair<std::string, std::string>> pairs;
    for (const auto &[run, bestEffort] : view.bestEffort) {
        for (const auto &[other, serving] : view.serving)
            pairs.emplace(bestEffort.image, serving.image);
    }
    std::vector<TailWeight> weights;
    weights.reserve(pairs.size());
    for (const auto &[bestEffort, serving] : pairs)
        weights.push_back({bestEffort, serving, tailModel.weight(bestEffort, serving)});
    return weights;
}

std::string_view obstacleName(PlacementObstacle obstacle)
{
    switch (obstacle) {
    case PlacementObstacle::None:
        return "none";
    case PlacementObstacle::Unavailable:
        return "unavailable";
    case PlacementObstacle::Excluded:
        return "excluded";
    case PlacementObstacle::Processors:
        return "processors";
    case PlacementObstacle::Memory:
        return "memory";
    case PlacementObstacle::Accelerators:
        return "accelerators";
    case PlacementObstacle::KeptRoom:
        return "kept room";
    case PlacementObstacle::Pace:
        break;
    }
    return "pace";
}

bool fitsBesideLongRunning(const MinionView &view, const PlacementRequest &request, BootTime now)
{
    return lastingObstacle(view, request, now) == PlacementObstacle::None &&
           (view.usedByLongRunning + reservedDemand(*request.step)).fitsInto(view.facts.capacity);
}

int slotsOn(const MinionView &view, const PlacementRequest &request, BootTime now, int limit)
{
    if (lastingObstacle(view, request, now) != PlacementObstacle::None)
        return 0;
    const Resources demand = reservedDemand(*request.step);
    Resources total = committedResources(view) + demand;
    int slots = 0;
    for (; slots < limit && total.fitsInto(view.facts.capacity); ++slots)
        total = total + demand;
    return slots;
}

PlacementObstacle placementObstacle(const MinionView &view, const PlacementRequest &request,
                                    BootTime now)
{
    const PlacementObstacle obstacle = hardObstacle(view, request, now);
    if (obstacle != PlacementObstacle::None || !request.step->bestEffort)
        return obstacle;
    return isTooSlow(view, request, expectedPace(view, *request.step, *request.tailModel))
               ? PlacementObstacle::Pace
               : PlacementObstacle::None;
}

std::optional<double> placementScore(const MinionView &view, const PlacementRequest &request,
                                     BootTime now)
{
    if (!isEligible(view, request, now))
        return std::nullopt;
    const StepSpec &step = *request.step;
    double score = 0;
    if (step.bestEffort) {
        const double pace = expectedPace(view, step, *request.tailModel);
        if (isTooSlow(view, request, pace))
            return std::nullopt;
        score = bestEffortScore(view, request, pace);
    } else {
        score = step.tailTargetMs > 0 ? servingScore(view, request) : regularScore(view);
    }
    if (!step.preferredRack.empty() && hasLabel(view, step.preferredRack))
        score += rackWeight;
    if (view.avoidUntil > now)
        score -= avoidPenalty;
    if (!view.failedJobs.empty())
        score -= recentFailurePenalty;
    if (!request.task->failedAgent.empty() && request.task->failedAgent == view.agent)
        score -= sameAgentFailurePenalty;
    return score;
}

bool suitsGroup(const MinionView &view, const PlacementRequest &request, BootTime now)
{
    const StepSpec &step = *request.step;
    // Long-running tasks share few messages, and a failure of the minion would end all of them.
    if (step.gang || step.maxPerMinion > 0 || step.longRunning || step.tailTargetMs > 0)
        return false;
    if (view.avoidUntil > now || !view.failedJobs.empty() ||
        request.task->failedAgent == view.agent || !isEligible(view, request, now))
        return false;
    if (step.bestEffort)
        return !view.tailTargetExceeded && expectedPace(view, step, *request.tailModel) >= 1;
    const Resources reserved = committedResources(view) + step.demand;
    return peakUsedShare * static_cast<double>(reserved.milliCores()) +
               static_cast<double>(view.bestEffortMilliCores) <=
           static_cast<double>(view.facts.capacity.milliCores());
}

} // namespace lavenderarch
