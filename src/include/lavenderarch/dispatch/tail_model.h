// The tail model: learns how much tail latency headroom best-effort images take from serving
// images.
#pragma once

#include "lavenderarch/dispatch/tail_headroom.h"
#include "lavenderarch/dispatch/tail_weight.h"

#include <map>
#include <string>

namespace lavenderarch {

/// Share of a minion's processors that the best-effort runs of each image use, by image.
using BestEffortShares = std::map<std::string, double>;

/// A linear model, fitted online by a Kalman filter with a diagonal covariance. The headroom of a
/// serving run is its baseline, which drifts with its load, less the sum of weight times share over
/// the best-effort images on the minion. The latency of a queue grows with 1 / (1 - load), so that
/// its inverse is linear in the load. Not thread-safe.
class TailModel
{
public:
    /// Headroom that `serving` loses to a best-effort image `bestEffort` that uses all processors.
    /// A pair that has not been observed together has a conservative default.
    double weight(const std::string &bestEffort, const std::string &serving) const;
    /// Headroom that `serving` loses to all best-effort images in `shares`.
    double headroomLoss(const std::string &serving, const BestEffortShares &shares) const;
    /// Sets a weight that was learned elsewhere. observe() no longer changes it.
    void setWeight(const TailWeight &weight);

    /// Updates `run` and the weights from one measurement: `headroom` of a serving run at `now`
    /// while the best-effort images used `shares`.
    void observe(const std::string &serving, TailHeadroom &run, const BestEffortShares &shares,
                 double headroom, BootTime now);

    /// Serializes the weights for the store.
    std::string text() const;
    /// Replaces the weights by those of text(). Returns false and changes nothing when `text` is
    /// not valid.
    bool load(const std::string &text);
    /// Number of measurements learned from, without those of a saturated or draining queue.
    std::int64_t observationCount() const { return m_observationCount; }

private:
    struct Weight
    {
        double value;
        double variance;
    };
    using ImagePair = std::pair<std::string, std::string>; // bestEffort, serving
    /// Allows look-ups without a copy of the names.
    struct PairLess
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        template <typename Left, typename Right>
        bool operator()(const Left &left, const Right &right) const
        {
            const int order = std::string_view(left.first).compare(right.first);
            return order != 0 ? order < 0 : std::string_view(left.second) < right.second;
        }
    };

    Weight &findOrCreate(const std::string &bestEffort, const std::string &serving);
    void applyCorrection(const std::string &serving, const BestEffortShares &shares, double error,
                         double noise, TailHeadroom *run);

    std::int64_t m_observationCount = 0;
    std::map<ImagePair, Weight, PairLess> m_weights;
};

} // namespace lavenderarch
