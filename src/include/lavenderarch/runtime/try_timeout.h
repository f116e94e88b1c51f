// How long one try of a call may take before it is repeated.
#pragma once

#include "lavenderarch/core/time.h"

#include <algorithm>
#include <atomic>

namespace lavenderarch {

/// Follows the time that answers take: short when the peer is fast, so that a lost answer costs
/// little, and long when it is slow, so that repeats do not add to its load. Thread-safe.
class TryTimeout
{
public:
    /// A healthy store answers within 40 ms from the other region.
    static constexpr std::int64_t minMs = 250;
    static constexpr std::int64_t maxMs = 2000;
    /// Allowed multiple of the usual time.
    static constexpr std::int64_t latencyFactor = 6;

    Milliseconds current() const { return Milliseconds(m_currentMs.load()); }
    void recordLatency(Milliseconds taken)
    {
        const std::int64_t wanted = taken.count() * latencyFactor;
        const std::int64_t former = m_currentMs.load();
        // Longer at once, shorter by steps.
        m_currentMs = std::clamp(std::max(wanted, former - (former - wanted) / 4), minMs, maxMs);
    }
    void recordTimeout() { m_currentMs = std::min(m_currentMs.load() * 2, maxMs); }

private:
    std::atomic<std::int64_t> m_currentMs{800};
};

} // namespace lavenderarch
