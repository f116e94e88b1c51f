// Learns how much tasks of one class slow down those of another that share a worker.
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
/// Coefficients are kept apart for lightly and heavily loaded workers, learned by normalised least
/// mean squares from lagged reports, and decay towards the prior when they are not confirmed.
/// Not thread-safe.
class InterferenceModel
{
public:
    /// Learns from one observation; `neighbours` excludes the victim itself.
    void observe(const std::string &victim, const std::vector<ClassLoad> &neighbours,
                 double slowdown, TimePoint now);

    /// Expected slowdown (>= 1) of `victim` beside `neighbours`.
    double predict(const std::string &victim, const std::vector<ClassLoad> &neighbours,
                   TimePoint now) const;

    /// Slowdown that `aggressor` adds to `victim` on a worker whose neighbours load it by `load`.
    double addedSlowdown(const std::string &victim, const ClassLoad &aggressor, double load,
                         TimePoint now) const;

private:
    static constexpr std::size_t loadBands = 2;

    struct Coefficient
    {
        double value = 0;
        TimePoint observedAt;
    };
    using Bands = std::array<Coefficient, loadBands>;
    using Pair = std::pair<std::string, std::string>; // victim, aggressor

    static std::size_t bandOf(double load);
    static double decayed(const Coefficient &coefficient, TimePoint now);

    std::map<Pair, Bands> m_coefficients;
};

} // namespace lavenderarch
