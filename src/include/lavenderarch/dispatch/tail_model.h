// Learns how much headroom filling images take from serving images.
#pragma once

#include "lavenderarch/dispatch/tail_headroom.h"
#include "lavenderarch/dispatch/tail_weight.h"

#include <map>
#include <string>

namespace lavenderarch {

/// Share of a minion's processors that each filling image uses, by image.
using BestEffortShares = std::map<std::string, double>;

/// A linear model, fitted online by a Kalman filter with a diagonal covariance: the headroom of a
/// serving run is its own, which drifts with its load, less the sum over the filling images of
/// weight times share. The latency of a queue grows with 1 / (1 - load), so that its inverse is
/// linear in the load. Not thread-safe.
class TailModel
{
public:
    /// Headroom that `serving` loses to a `filling` image that uses all processors; a cautious
    /// value for a pair that was never seen together.
    double weight(const std::string &filling, const std::string &serving) const;
    /// Headroom that `serving` loses to all of `fills`.
    double headroomLoss(const std::string &serving, const BestEffortShares &fills) const;
    /// Sets a weight that was learned elsewhere; it is not fitted any more.
    void setWeight(const TailWeight &weight);

    /// Learns from one figure of a serving run, `headroom` beside `fills` at `now`.
    void observe(const std::string &serving, TailHeadroom &run, const BestEffortShares &fills,
                 double headroom, BootTime now);

    /// The model as text, and back; an unreadable text leaves it as it is (false).
    std::string text() const;
    bool load(const std::string &text);
    /// Counts the figures learned from.
    std::int64_t observationCount() const { return m_observationCount; }

private:
    struct Weight
    {
        double value;
        double variance;
    };
    using Pair = std::pair<std::string, std::string>; // filling, serving

    Weight &find(const std::string &filling, const std::string &serving);
    void applyCorrection(const std::string &serving, const BestEffortShares &fills, double error,
                         double noise, TailHeadroom *run);

    std::int64_t m_observationCount = 0;
    std::map<Pair, Weight> m_weights;
};

} // namespace lavenderarch
