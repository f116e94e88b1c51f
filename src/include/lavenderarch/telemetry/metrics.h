// Counters, gauges and histograms of one process, exposed in the Prometheus text format.
#pragma once

#include "lavenderarch/telemetry/metric_counter.h"

#include <map>
#include <memory>
#include <string>

namespace lavenderarch {

/// Registry of a process's metrics. Thread-safe. Names follow the Prometheus conventions; times are
/// in seconds.
class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// For counters that are incremented often. The counter exists, at 0, from now on.
    MetricCounter counter(const std::string &name, const Labels &labels = {});
    void increment(const std::string &name, const Labels &labels = {}, double amount = 1);
    void setGauge(const std::string &name, double value, const Labels &labels = {});
    void observeSeconds(const std::string &name, double seconds, const Labels &labels = {});

    /// All metrics as Prometheus text.
    std::string exposition() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lavenderarch
