// Learns the resource usage and run times of tasks from reports.
#pragma once

#include "lavenderarch/core/resources.h"

#include <cstdint>
#include <map>
#include <string>

namespace lavenderarch {

/// Keeps, per kind of task, mean and variance of the ratio of measured to declared values. Resource
/// estimates lie above the mean by a multiple of the standard deviation, run time estimates are the
/// mean; both apply only after a minimum number of samples. Not thread-safe.
class SizeEstimator
{
public:
    void observeUsage(const std::string &kind, const Resources &declared, const Resources &used);
    void observeRunTime(const std::string &kind, std::int64_t declaredMs, std::int64_t actualMs);

    /// Resources to reserve: for each resource the larger of the declared amount and the learned
    /// one, where the learned amount is capped at `limit`. Accelerators are reserved as declared.
    Resources reservation(const std::string &kind, const Resources &declared,
                          const Resources &limit) const;
    /// Expected run time; the declared one until there are enough samples.
    std::int64_t runTimeMs(const std::string &kind, std::int64_t declaredMs) const;

private:
    struct RatioEstimate
    {
        double mean = 1;
        double variance = 0;
        int samples = 0;

        void observe(double ratio);
        /// Mean plus a safety margin; 1 until there are enough samples.
        double upperEstimate() const;
    };
    struct KindEstimates
    {
        RatioEstimate milliCores;
        RatioEstimate memory;
        RatioEstimate runTime;
    };

    std::map<std::string, KindEstimates> m_kinds;
};

} // namespace lavenderarch
