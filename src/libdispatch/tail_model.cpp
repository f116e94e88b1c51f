// Fits the tail model, a linear model of the headroom that best-effort tasks take from serving
// tasks.
#include "lavenderarch/dispatch/tail_model.h"

#include <algorithm>
#include <cmath>

namespace lavenderarch {
namespace {

/// Weight of a pair that has not been observed together. With it, a best-effort task on a tenth of
/// the processors takes a third of the distance of a moderately loaded serving task to its target.
constexpr double priorWeight = 4;
constexpr double priorVariance = 16;
constexpr double maxWeight = 60;
/// Process noise added to the variances per observation, every half second. The load of a serving
/// task changes within seconds, the weights change slowly.
constexpr double baselineProcessNoise = 0.04;
constexpr double weightProcessNoise = 0.01;
/// Standard deviation of a measured headroom: a relative part, because latencies come in whole
/// milliseconds, and a constant part.
constexpr double relativeNoise = 0.08;
constexpr double absoluteNoise = 0.05;
/// Below this headroom the queue is saturated, and the latency carries no further information.
constexpr double saturatedHeadroom = 0.35;
/// Time in which a saturated queue drains once no best-effort task runs any more.
constexpr Milliseconds queueDrainTime{1500};

double measurementVariance(double headroom)
{
    const double deviation = relativeNoise * headroom + absoluteNoise;
    return deviation * deviation;
}

} // namespace

double TailModel::weight(const std::string &bestEffort, const std::string &serving) const
{
    const auto known =
        m_weights.find(std::pair<std::string_view, std::string_view>(bestEffort, serving));
    return known == m_weights.end() ? priorWeight : known->second.value;
}

double TailModel::headroomLoss(const std::string &serving, const BestEffortShares &shares) const
{
    double sum = 0;
    for (const auto &[image, share] : shares)
        sum += weight(image, serving) * share;
    return sum;
}

void TailModel::setWeight(const TailWeight &weight)
{
    m_weights[{weight.bestEffort, weight.serving}] = {std::clamp(weight.weight, 0.0, maxWeight), 0};
}

TailModel::Weight &TailModel::findOrCreate(const std::string &bestEffort,
                                           const std::string &serving)
{
    return m_weights.try_emplace({bestEffort, serving}, Weight{priorWeight, priorVariance})
        .first->second;
}

void TailModel::observe(const std::string &serving, TailHeadroom &run,
                        const BestEffortShares &shares, double headroom, BootTime now)
{
    run.observed = headroom;
    const bool bestEffortActive = std::any_of(shares.begin(), shares.end(),
                                              [](const auto &entry) { return entry.second > 0; });
    const double expected = run.baseline - headroomLoss(serving, shares);
    if (headroom < saturatedHeadroom && bestEffortActive) {
        run.saturatedUntil = now + queueDrainTime;
        if (run.known() && expected > saturatedHeadroom)
            applyCorrection(serving, shares, saturatedHeadroom - expected,
                            measurementVariance(saturatedHeadroom), nullptr);
        return;
    }
    if (now < run.saturatedUntil)
        return;
    ++m_observationCount;
    if (!run.known()) {
        run.baseline = headroom + headroomLoss(serving, shares);
        run.variance =
            measurementVariance(headroom) + (bestEffortActive ? priorVariance * 0.01 : 0);
        return;
    }
    applyCorrection(serving, shares, headroom - expected, measurementVariance(headroom), &run);
    run.baseline = std::max(run.baseline, saturatedHeadroom);
    run.variance += baselineProcessNoise;
}

void TailModel::applyCorrection(const std::string &serving, const BestEffortShares &shares,
                                double error, double noise, TailHeadroom *run)
{
    double innovationVariance = noise + (run == nullptr ? 0 : run->variance);
    for (const auto &[image, share] : shares)
        innovationVariance += findOrCreate(image, serving).variance * share * share;
    if (run != nullptr) {
        const double gain = run->variance / innovationVariance;
        run->baseline += gain * error;
        run->variance *= 1 - gain;
    }
    for (const auto &[image, share] : shares) {
        Weight &weight = findOrCreate(image, serving);
        if (share <= 0 || weight.variance <= 0)
            continue;
        const double gain = weight.variance * share / innovationVariance;
        weight.value = std::clamp(weight.value - gain * error, 0.0, maxWeight);
        weight.variance = weight.variance * (1 - gain * share) + weightProcessNoise;
    }
}

std::string TailModel::text() const
{
    Json pairs = Json::array();
    for (const auto &[pair, weight] : m_weights)
        pairs.push_back({pair.first, pair.second, std::lround(weight.value * 1000),
                         std::lround(weight.variance * 1000)});
    return jsonText(Json{{"weights", std::move(pairs)}});
}

bool TailModel::load(const std::string &text)
{
    const auto stored = parseJson(text, "tail model");
    if (!stored.ok())
        return false;
    try {
        std::map<ImagePair, Weight, PairLess> weights;
        for (const Json &pair : stored->at("weights"))
            weights[{pair.at(0).get<std::string>(), pair.at(1).get<std::string>()}] = {
                std::clamp(pair.at(2).get<double>() / 1000, 0.0, maxWeight),
                std::clamp(pair.at(3).get<double>() / 1000, 0.0, priorVariance)};
        m_weights = std::move(weights);
    } catch (const Json::exception &) {
        return false;
    }
    return true;
}

} // namespace lavenderarch
