// Eligibility and score of minions for a task.
#include "placement.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Weights of the score, in units of an idle minion's whole capacity.
constexpr double rackWeight = 4;           // off the data's rack a task takes longer
constexpr double paceWeight = 2;           // of the pace that a filling task would keep
constexpr double pressureWeight = 1;       // of the headroom to spare that a filling task takes
constexpr double pressureToServe = 0.3;    // per headroom that fills take from a serving task
constexpr double serveBesideAlike = 2;     // serving tasks of one image suffer from the same fills
constexpr double packWeight = 1;           // and fill the fullest of these first
constexpr double plainBesideServing = 0.5; // plain tasks do not disturb serving ones
constexpr double avoidWeight = 8;          // lately failed tasks of several jobs
constexpr double sameFailureWeight = 4;    // this task's last run failed there
constexpr double suspectWeight = 0.5;      // some failure lately

/// A filling task goes only where it would keep this share of its pace.
constexpr double leastPace = 0.4;
/// Headroom at the target: what a serving task has above it may go to fills. Agents keep a margin.
constexpr double spareHeadroom = 1.0;
/// Share of their declared processors that tasks other than fills use at the peak of their load, as
/// measured on both sites; fills get the rest.
constexpr double usedShare = 0.65;

bool hasLabel(const MinionView &view, const std::string &label)
{
    const auto &labels = view.facts.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

Resources taken(const MinionView &view)
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

/// Shares of the processors that the fills would use at full pace, by image.
FillShares fullShares(const MinionView &view)
{
    FillShares shares;
    for (const auto &[run, fill] : view.fills)
        shares[fill.image] += share(fill.milliCores, view.facts.capacity.milliCores());
    return shares;
}

/// Share of the headroom to spare that a filling task would take from the serving task which
/// suffers most; 1 at most.
double pressureOfFill(const MinionView &view, const StepSpec &step, const TailModel &tails)
{
    const double part = share(step.demand.milliCores(), view.facts.capacity.milliCores());
    double worst = 0;
    for (const auto &[run, serving] : view.serving) {
        const double loss = part * tails.weight(step.image, serving.image);
        const double free = serving.typical - spareHeadroom;
        worst = std::max(worst, loss < free ? loss / free : 1);
    }
    return worst;
}

/// Of the serving tasks on the minion: 1 when all are of the image, -1 when none is, 0 for none.
double alikeness(const MinionView &view, const std::string &image)
{
    if (view.serving.empty())
        return 0;
    const auto alike = std::count_if(view.serving.begin(), view.serving.end(),
                                     [&](const auto &run) { return run.second.image == image; });
    return 2 * static_cast<double>(alike) / static_cast<double>(view.serving.size()) - 1;
}

/// All that forbids the task here but the pace that it would keep.
bool isEligible(const MinionView &view, const PlacementRequest &request, BootTime now)
{
    const MinionFacts &facts = view.facts;
    if (!view.registered || !view.reachable || facts.draining || !isFresh(view, now))
        return false;
    if (facts.service != request.job->service ||
        request.closedDataCentres->count(facts.dataCentre) != 0)
        return false;
    if (!request.step->requiredLabel.empty() && !hasLabel(view, request.step->requiredLabel))
        return false;
    const auto same = request.sameStep->find(view.agent);
    if (request.step->maxPerMinion > 0 && same != request.sameStep->end() &&
        same->second >= request.step->maxPerMinion)
        return false;
    return (taken(view) + counted(*request.step)).fitsInto(facts.capacity);
}

/// Thousandths of a core that the fills would use at full pace.
std::int64_t fillCores(const MinionView &view)
{
    std::int64_t sum = 0;
    for (const auto &[run, fill] : view.fills)
        sum += fill.milliCores;
    return sum;
}

/// Thousandths of a core that tasks other than fills have not declared.
std::int64_t unusedCores(const MinionView &view)
{
    return view.facts.capacity.milliCores() - taken(view).milliCores();
}

double scoreOfFill(const MinionView &view, const PlacementRequest &request, double pace)
{
    const std::int64_t left = unusedCores(view) - fillCores(view);
    return paceWeight * pace + share(left, view.facts.capacity.milliCores()) -
           pressureWeight * pressureOfFill(view, *request.step, *request.tails);
}

double scoreOfServing(const MinionView &view, const PlacementRequest &request)
{
    const std::string &image = request.step->image;
    const double unused = share(unusedCores(view), view.facts.capacity.milliCores());
    return packWeight * (1 - unused) + serveBesideAlike * alikeness(view, image) -
           pressureToServe * request.tails->pressure(image, fullShares(view));
}

double scoreOfPlain(const MinionView &view)
{
    const Resources &capacity = view.facts.capacity;
    const double cores = share(unusedCores(view), capacity.milliCores());
    const double memory =
        share(capacity.memoryMib() - taken(view).memoryMib(), capacity.memoryMib());
    return std::min(cores, memory) + (view.serving.empty() ? 0 : plainBesideServing) -
           share(fillCores(view), capacity.milliCores());
}

} // namespace

Resources counted(const StepSpec &step)
{
    return {step.fills ? 0 : step.demand.milliCores(), step.demand.memoryMib(),
            step.demand.accelerators()};
}

RunOrder describedOrder(OrderKind kind, const RunKey &run, const StepSpec &step)
{
    RunOrder order;
    order.kind = kind;
    order.run = run;
    order.fills = step.fills;
    order.tailTargetMs = step.tailTargetMs;
    order.image = step.image;
    order.milliCores = step.demand.milliCores();
    return order;
}

double expectedPace(const MinionView &view, const StepSpec &step, const TailModel &tails)
{
    const auto capacity = static_cast<double>(view.facts.capacity.milliCores());
    const auto wanted = static_cast<double>(step.demand.milliCores());
    if (capacity <= 0 || wanted <= 0)
        return 1;
    const double used = usedShare * static_cast<double>(taken(view).milliCores());
    double pace = (capacity - used - static_cast<double>(fillCores(view))) / wanted;
    const FillShares shares = fullShares(view);
    for (const auto &[run, serving] : view.serving) {
        if (serving.typical <= 0)
            continue;
        const double loss = tails.weight(step.image, serving.image) * wanted / capacity;
        const double free = serving.typical - spareHeadroom - tails.pressure(serving.image, shares);
        if (loss > free)
            pace = std::min(pace, free / loss);
    }
    return std::clamp(pace, 0.0, 1.0);
}

std::vector<TailWeight> weightsOf(const MinionView &view, const TailModel &tails)
{
    std::set<std::pair<std::string, std::string>> pairs;
    for (const auto &[run, fill] : view.fills) {
        for (const auto &[other, serving] : view.serving)
            pairs.emplace(fill.image, serving.image);
    }
    std::vector<TailWeight> weights;
    weights.reserve(pairs.size());
    for (const auto &[filling, serving] : pairs)
        weights.push_back({filling, serving, tails.weight(filling, serving)});
    return weights;
}

std::optional<double> placementScore(const MinionView &view, const PlacementRequest &request,
                                     BootTime now)
{
    if (!isEligible(view, request, now))
        return std::nullopt;
    const StepSpec &step = *request.step;
    double score = 0;
    if (step.fills) {
        const double pace = expectedPace(view, step, *request.tails);
        if (!request.idleJob && (view.tailTargetExceeded || pace < leastPace))
            return std::nullopt;
        score = scoreOfFill(view, request, pace);
    } else {
        score = step.tailTargetMs > 0 ? scoreOfServing(view, request) : scoreOfPlain(view);
    }
    if (!step.preferredRack.empty() && hasLabel(view, step.preferredRack))
        score += rackWeight;
    if (view.avoidUntil > now)
        score -= avoidWeight;
    if (!view.failedJobs.empty())
        score -= suspectWeight;
    if (!request.task->failedAgent.empty() && request.task->failedAgent == view.agent)
        score -= sameFailureWeight;
    return score;
}

} // namespace lavenderarch
