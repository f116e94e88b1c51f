// Online linear model of interference with serving tasks.
#include "lavenderarch/dispatch/tail_model.h"

#include <algorithm>
#include <cmath>

namespace lavenderarch {
namespace {

/// Assumed of a pair that was never seen together: a fill on a tenth of the processors takes a
/// third of the distance that a moderately loaded serving task has to its target.
constexpr double priorWeight = 4;
constexpr double priorVariance = 16;
constexpr double largestWeight = 60;
/// Growth of the variances between two observations, half a second apart: a serving task's load
/// changes within seconds, the weights slowly.
constexpr double headroomDrift = 0.04;
constexpr double weightDrift = 0.01;
/// Standard deviation of a figure: a part in proportion, for whole milliseconds, and a rest.
constexpr double noiseShare = 0.08;
constexpr double noiseRest = 0.05;
/// Far over the target the queue is saturated and the latency says only that it is.
constexpr double saturated = 0.35;
/// Time in which a saturated queue builds down once nothing fills any more.
constexpr Milliseconds buildDown{1500};

double noiseOf(double headroom)
{
    const double deviation = noiseShare * headroom + noiseRest;
    return deviation * deviation;
}

} // namespace

double TailModel::weight(const std::string &filling, const std::string &serving) const
{
    const auto known = m_weights.find({filling, serving});
    return known == m_weights.end() ? priorWeight : known->second.value;
}

double TailModel::headroomLoss(const std::string &serving, const BestEffortShares &fills) const
{
    double sum = 0;
    for (const auto &[image, share] : fills)
        sum += weight(image, serving) * share;
    return sum;
}

void TailModel::setWeight(const TailWeight &weight)
{
    m_weights[{weight.filling, weight.serving}] = {weight.weight, 0};
}

TailModel::Weight &TailModel::find(const std::string &filling, const std::string &serving)
{
    return m_weights.try_emplace({filling, serving}, Weight{priorWeight, priorVariance})
        .first->second;
}

void TailModel::observe(const std::string &serving, TailHeadroom &run,
                        const BestEffortShares &fills, double headroom, BootTime now)
{
    run.observed = headroom;
    const bool beside =
        std::any_of(fills.begin(), fills.end(), [](const auto &entry) { return entry.second > 0; });
    const double expected = run.baseline - headroomLoss(serving, fills);
    if (headroom < saturated && beside) {
        run.saturatedUntil = now + buildDown;
        if (run.known() && expected > saturated)
            applyCorrection(serving, fills, saturated - expected, noiseOf(saturated), nullptr);
        return;
    }
    if (now < run.saturatedUntil)
        return;
    ++m_observationCount;
    if (!run.known()) {
        run.baseline = headroom + headroomLoss(serving, fills);
        run.variance = noiseOf(headroom) + (beside ? priorVariance * 0.01 : 0);
        return;
    }
    applyCorrection(serving, fills, headroom - expected, noiseOf(headroom), &run);
    run.baseline = std::max(run.baseline, saturated);
    run.variance += headroomDrift;
}

void TailModel::applyCorrection(const std::string &serving, const BestEffortShares &fills,
                                double error, double noise, TailHeadroom *run)
{
    double spread = noise + (run == nullptr ? 0 : run->variance);
    for (const auto &[image, share] : fills)
        spread += find(image, serving).variance * share * share;
    if (run != nullptr) {
        const double gain = run->variance / spread;
        run->baseline += gain * error;
        run->variance *= 1 - gain;
    }
    for (const auto &[image, share] : fills) {
        Weight &weight = find(image, serving);
        if (share <= 0 || weight.variance <= 0)
            continue;
        const double gain = weight.variance * share / spread;
        weight.value = std::clamp(weight.value - gain * error, 0.0, largestWeight);
        weight.variance = weight.variance * (1 - gain * share) + weightDrift;
    }
}

std::string TailModel::text() const
{
    Json pairs = Json::array();
    for (const auto &[pair, weight] : m_weights)
        pairs.push_back({pair.first, pair.second, std::lround(weight.value * 1000),
                         std::lround(weight.variance * 1000)});
    return Json{{"weights", std::move(pairs)}}.dump();
}

bool TailModel::load(const std::string &text)
{
    const auto stored = parseJson(text, "tail model");
    if (!stored.ok())
        return false;
    try {
        std::map<Pair, Weight> weights;
        for (const Json &pair : stored->at("weights"))
            weights[{pair.at(0).get<std::string>(), pair.at(1).get<std::string>()}] = {
                pair.at(2).get<double>() / 1000, pair.at(3).get<double>() / 1000};
        m_weights = std::move(weights);
    } catch (const Json::exception &) {
        return false;
    }
    return true;
}

} // namespace lavenderarch
