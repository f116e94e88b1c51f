// Estimates of resource usage and run times.
#include "lavenderarch/scheduling/size_estimator.h"

#include <algorithm>
#include <cmath>

namespace lavenderarch {
namespace {

constexpr double smoothingFactor = 0.1;
constexpr int minSamples = 5;
constexpr double deviationsAboveMean = 1.0;

double ratioOf(std::int64_t used, std::int64_t declared)
{
    return declared > 0 ? static_cast<double>(used) / static_cast<double>(declared) : 1;
}

std::int64_t reservationFor(std::int64_t declared, double ratio, std::int64_t limit)
{
    const auto learned = static_cast<std::int64_t>(static_cast<double>(declared) * ratio);
    return std::max(declared, std::min(learned, limit));
}

} // namespace

void SizeEstimator::RatioEstimate::observe(double ratio)
{
    // A plain average of the first samples, an exponential moving average afterwards.
    const double weight = std::max(smoothingFactor, 1.0 / (samples + 1));
    const double error = ratio - mean;
    mean += weight * error;
    variance = (1 - weight) * (variance + weight * error * error);
    ++samples;
}

double SizeEstimator::RatioEstimate::upperEstimate() const
{
    return samples < minSamples ? 1 : mean + deviationsAboveMean * std::sqrt(variance);
}

void SizeEstimator::observeUsage(const std::string &kind, const Resources &declared,
                                 const Resources &used)
{
    KindEstimates &estimates = m_kinds[kind];
    estimates.milliCores.observe(ratioOf(used.milliCores(), declared.milliCores()));
    estimates.memory.observe(ratioOf(used.memoryMib(), declared.memoryMib()));
}

void SizeEstimator::observeRunTime(const std::string &kind, std::int64_t declaredMs,
                                   std::int64_t actualMs)
{
    m_kinds[kind].runTime.observe(ratioOf(actualMs, declaredMs));
}

Resources SizeEstimator::reservation(const std::string &kind, const Resources &declared,
                                     const Resources &limit) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return declared;
    const KindEstimates &estimates = found->second;
    return {
        reservationFor(declared.milliCores(), estimates.milliCores.upperEstimate(),
                       limit.milliCores()),
        reservationFor(declared.memoryMib(), estimates.memory.upperEstimate(), limit.memoryMib()),
        declared.accelerators()};
}

std::int64_t SizeEstimator::runTimeMs(const std::string &kind, std::int64_t declaredMs) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.runTime.samples < minSamples)
        return declaredMs;
    return static_cast<std::int64_t>(static_cast<double>(declaredMs) * found->second.runTime.mean);
}

} // namespace lavenderarch
