// Online learning of pairwise interference.
#include "lavenderarch/scheduling/interference_model.h"

#include <algorithm>
#include <cmath>

namespace lavenderarch {
namespace {

constexpr double learningRate = 0.3;
/// Keeps the NLMS step finite when the neighbours use hardly any processors.
constexpr double regularisation = 0.01;
/// Share of the capacity from which a worker counts as heavily loaded.
constexpr double heavyLoad = 0.6;
constexpr double maxCoefficient = 20;
/// Coefficient that is assumed for a pair of classes that was never observed together.
constexpr double priorCoefficient = 0.2;
/// Time in which an unobserved coefficient decays half of the way to the prior.
constexpr double halfLifeMs = 1'800'000;

double sumOf(const std::vector<ClassLoad> &loads)
{
    double sum = 0;
    for (const ClassLoad &load : loads)
        sum += load.share;
    return sum;
}

} // namespace

std::size_t InterferenceModel::bandOf(double load)
{
    return load < heavyLoad ? 0 : 1;
}

double InterferenceModel::decayed(const Coefficient &coefficient, TimePoint now)
{
    if (coefficient.observedAt == TimePoint())
        return priorCoefficient;
    const double ageMs = std::max(0.0, static_cast<double>((now - coefficient.observedAt).count()));
    const double retained = std::exp2(-ageMs / halfLifeMs);
    return priorCoefficient + (coefficient.value - priorCoefficient) * retained;
}

double InterferenceModel::addedSlowdown(const std::string &victim, const ClassLoad &aggressor,
                                        double load, TimePoint now) const
{
    const auto found = m_coefficients.find({victim, aggressor.workClass});
    if (found == m_coefficients.end())
        return priorCoefficient * aggressor.share;
    const Bands &bands = found->second;
    const std::size_t band = bandOf(load);
    // A load band without observations uses the coefficient of the other band.
    const bool observed = bands[band].observedAt != TimePoint();
    return decayed(bands[observed ? band : 1 - band], now) * aggressor.share;
}

double InterferenceModel::predict(const std::string &victim,
                                  const std::vector<ClassLoad> &neighbours, TimePoint now) const
{
    const double load = sumOf(neighbours);
    double slowdown = 1;
    for (const ClassLoad &neighbour : neighbours)
        slowdown += addedSlowdown(victim, neighbour, load, now);
    return std::max(1.0, slowdown);
}

void InterferenceModel::observe(const std::string &victim, const std::vector<ClassLoad> &neighbours,
                                double slowdown, TimePoint now)
{
    if (neighbours.empty() || !std::isfinite(slowdown))
        return;
    const double load = sumOf(neighbours);
    const std::size_t band = bandOf(load);
    const double error = std::max(1.0, slowdown) - predict(victim, neighbours, now);
    double norm = regularisation;
    for (const ClassLoad &neighbour : neighbours)
        norm += neighbour.share * neighbour.share;
    for (const ClassLoad &neighbour : neighbours) {
        Coefficient &coefficient = m_coefficients[{victim, neighbour.workClass}][band];
        const double next =
            decayed(coefficient, now) + learningRate * error * neighbour.share / norm;
        coefficient = {std::clamp(next, 0.0, maxCoefficient), now};
    }
}

} // namespace lavenderarch
