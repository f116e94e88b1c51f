// Counts and logs entries of other writers that cannot be used.
#pragma once

#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/log_throttle.h"
#include "lavenderarch/telemetry/metrics.h"

namespace lavenderarch {

/// Logs as few errors as LogThrottle admits. Thread-safe. The metrics must outlive it.
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
        if (const auto count = m_throttle.admit(messageOf(error)))
            logFailure(m_source, "entry rejected", error,
                       {{"from", std::string(from)}, {"rejectedSoFar", std::to_string(*count)}});
    }

private:
    Metrics &m_metrics;
    const std::string m_source;
    LogThrottle m_throttle;
};

} // namespace lavenderarch
