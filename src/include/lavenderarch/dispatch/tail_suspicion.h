// Learns which images, while they fill, raise the tail latency of which serving images.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lavenderarch {

/// A noisy-or model learned online: a serving task's tail is over its target by its own load, or
/// because of one of the filling images beside it. Forgets, since both change within seconds.
/// Not thread-safe.
class TailSuspicion
{
public:
    /// Learns from one look at a serving task: its tail as a share of the target, and the images
    /// that filled beside it at a fair pace.
    void observe(const std::string &serving, const std::vector<std::string> &filling,
                 double tailShare);

    /// Probability, 0 to 1, that `filling` alone takes `serving` over its target.
    double suspicion(const std::string &filling, const std::string &serving) const;

    /// The model as text, and back; an unreadable text leaves it as it is (false).
    std::string text() const;
    bool load(const std::string &text);
    /// Counts the looks learned from.
    std::int64_t looks() const { return m_looks; }

private:
    using Pair = std::pair<std::string, std::string>; // filling, serving

    std::int64_t m_looks = 0;
    std::map<Pair, double> m_suspicion;
    std::map<std::string, double> m_own; ///< share of looks over the target with no fill beside
};

} // namespace lavenderarch
