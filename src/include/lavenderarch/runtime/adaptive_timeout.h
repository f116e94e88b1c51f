// Adaptive timeout of one attempt of a call that is repeated until it succeeds.
#pragma once

#include "lavenderarch/core/time.h"

#include <algorithm>
#include <atomic>

namespace lavenderarch {

/// Adapts to the measured latency: short while the peer is fast, so that a lost answer costs little
/// time, and long while it is slow, so that retries do not add to its load. Thread-safe.
class AdaptiveTimeout
{
public:
    /// Well above the 40 ms in which a healthy store in the other region answers.
    static constexpr std::int64_t minMs = 250;
    static constexpr std::int64_t maxMs = 2000;
    /// The timeout as a multiple of the measured latency.
    static constexpr std::int64_t latencyFactor = 6;

    Milliseconds current() const { return Milliseconds(m_currentMs.load()); }
    /// Records that an attempt was answered after `latency`.
    void recordLatency(Milliseconds latency)
    {
        const std::int64_t target = latency.count() * latencyFactor;
        const std::int64_t previous = m_currentMs.load();
        // Grows at once, but shrinks by a quarter of the difference per answer.
        m_currentMs =
            std::clamp(std::max(target, previous - (previous - target) / 4), minMs, maxMs);
    }
    /// Records that an attempt was not answered in time.
    void recordTimeout() { m_currentMs = std::min(m_currentMs.load() * 2, maxMs); }

private:
    std::atomic<std::int64_t> m_currentMs{800};
};

} // namespace lavenderarch
