// Counts and logs entries of other writers that cannot be used.
#pragma once

#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/metrics.h"

#include <mutex>

namespace lavenderarch {

/// An error is logged when it differs from the one logged before, at most five times in ten
/// seconds, however often the entries come. Thread-safe. The metrics must outlive it.
class InvalidEntries
{
public:
    InvalidEntries(Metrics &metrics, std::string source)
        : m_metrics(metrics)
        , m_source(std::move(source))
    {
    }

    void add(const Status &error, std::string_view from = "")
    {
        m_metrics.increment("lavender_invalid_entries_total", {{"source", m_source}});
        const BootTime now = BootClock::now();
        const std::scoped_lock lock(m_mutex);
        ++m_count;
        const std::string text = messageOf(error);
        if (now < m_nextLine && (text == m_logged || m_lines >= maxLines))
            return;
        m_lines = now < m_nextLine ? m_lines + 1 : 1;
        m_nextLine = m_lines == 1 ? now + linePause : m_nextLine;
        m_logged = text;
        logFailure(m_source, "entry rejected", error,
                   {{"from", std::string(from)}, {"rejectedSoFar", std::to_string(m_count)}});
    }

private:
    static constexpr Milliseconds linePause{10'000};
    static constexpr int maxLines = 5; ///< in one linePause

    Metrics &m_metrics;
    const std::string m_source;
    std::mutex m_mutex;
    std::int64_t m_count = 0; // guarded by m_mutex, as all below
    std::string m_logged;     // newest logged error
    BootTime m_nextLine{};    // end of the current pause
    int m_lines = 0;          // since the pause began
};

} // namespace lavenderarch
