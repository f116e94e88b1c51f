// Learns by how much tasks of one work class slow down those of another on the same worker.
#pragma once

#include "lavenderarch/core/time.h"
#include "lavenderarch/scheduling/class_load.h"

#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lavenderarch {

/// Pairwise additive model: slowdown of a victim = 1 + sum over neighbours of share * coefficient.
/// Each pair of work classes has one coefficient for lightly and one for heavily loaded workers.
/// They are learned by normalised least mean squares (NLMS) from reports that lag behind, and decay
/// towards the prior while there are no new observations. Not thread-safe.
class InterferenceModel
{
public:
    /// Learns from one observed slowdown of `victim`; `neighbours` excludes the victim itself.
    void observe(const std::string &victim, const std::vector<ClassLoad> &neighbours,
                 double slowdown, TimePoint now);

    /// Expected slowdown (>= 1) of `victim` on a worker that it shares with `neighbours`.
    double predict(const std::string &victim, const std::vector<ClassLoad> &neighbours,
                   TimePoint now) const;

    /// Expected slowdown that `aggressor` adds to `victim` on a worker where the neighbours use
    /// `load` of the capacity.
    double addedSlowdown(const std::string &victim, const ClassLoad &aggressor, double load,
                         TimePoint now) const;

private:
    static constexpr std::size_t loadBands = 2;

    struct Coefficient
    {
        double value = 0;
        TimePoint observedAt; ///< newest observation; zero: none
    };
    using Bands = std::array<Coefficient, loadBands>;
    using Pair = std::pair<std::string, std::string>; // victim, aggressor

    static std::size_t bandOf(double load);
    static double decayed(const Coefficient &coefficient, TimePoint now);

    std::map<Pair, Bands> m_coefficients;
};

} // namespace lavenderarch
