// Eligibility and score of minions for a task.
#include "placement.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Weights of the score, in units of an idle minion's whole capacity.
constexpr double rackWeight = 4;           // off the data's rack a task takes longer
constexpr double fillBesideServing = 0.1;  // even harmless fills may come to do harm
constexpr double harmWeight = 1.6;         // and times the likeliness that they do now
constexpr double harmToServe = 0.3;        // per fill that a serving task would find
constexpr double serveBesideServing = 1;   // serving tasks share minions, to leave others to fills
constexpr double packWeight = 1;           // and fill the fullest of these first
constexpr double plainBesideServing = 0.5; // plain tasks do not disturb serving ones
constexpr double avoidWeight = 8;          // lately failed tasks of several jobs
constexpr double sameFailureWeight = 4;    // this task's last run failed there
constexpr double suspectWeight = 0.5;      // some failure lately

bool hasLabel(const MinionView &view, const std::string &label)
{
    const auto &labels = view.facts.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

Resources taken(const MinionView &view)
{
    Resources sum = view.used;
    for (const auto &[run, demand] : view.extra)
        sum = sum + demand;
    return sum;
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

} // namespace

Resources counted(const StepSpec &step)
{
    return {step.fills ? 0 : step.demand.milliCores(), step.demand.memoryMib(),
            step.demand.accelerators()};
}

bool isEligible(const MinionView &view, const PlacementRequest &request, BootTime now)
{
    const MinionFacts &facts = view.facts;
    if (!view.registered || !view.reachable || facts.draining || now - view.lastHeard > freshFor)
        return false;
    if (facts.service != request.job->service ||
        request.closedDataCentres->count(facts.dataCentre) != 0)
        return false;
    if (request.step->fills && view.tailsHigh)
        return false;
    if (!request.step->requiredLabel.empty() && !hasLabel(view, request.step->requiredLabel))
        return false;
    const auto same = request.sameStep->find(view.agent);
    if (request.step->maxPerMinion > 0 && same != request.sameStep->end() &&
        same->second >= request.step->maxPerMinion)
        return false;
    return (taken(view) + counted(*request.step)).fitsInto(facts.capacity);
}

double harmOfFill(const MinionView &view, const std::string &image, const TailSuspicion &suspicion)
{
    double worst = 0;
    for (const auto &[run, serving] : view.servingImages)
        worst = std::max(worst, suspicion.suspicion(image, serving));
    return worst;
}

double placementScore(const MinionView &view, const PlacementRequest &request, BootTime now)
{
    const Resources &capacity = view.facts.capacity;
    const Resources used = taken(view);
    const StepSpec &step = *request.step;
    const std::int64_t unused = capacity.milliCores() - used.milliCores();
    double score = 0;
    if (step.fills) {
        score = share(unused - view.fillCores, capacity.milliCores());
        if (!view.servingImages.empty())
            score -=
                fillBesideServing + harmWeight * harmOfFill(view, step.image, *request.suspicion);
    } else if (step.tailTargetMs > 0) {
        score = packWeight * (1 - share(unused, capacity.milliCores()));
        score += view.servingImages.empty() ? 0 : serveBesideServing;
        for (const auto &[run, image] : view.fillImages)
            score -= harmToServe * request.suspicion->suspicion(image, step.image);
    } else {
        const double memory = share(capacity.memoryMib() - used.memoryMib(), capacity.memoryMib());
        score = std::min(share(unused, capacity.milliCores()), memory);
        score += view.servingImages.empty() ? 0 : plainBesideServing;
        score -= share(view.fillCores, capacity.milliCores());
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
