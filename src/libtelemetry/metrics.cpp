// Metrics with prometheus-cpp. Lock order: m_impl->mutex before the locks of prometheus-cpp.
#include "lavenderarch/telemetry/metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace lavenderarch {
namespace {

/// In seconds.
const prometheus::Histogram::BucketBoundaries latencyBuckets = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

/// One metric of a family for each set of labels. Looking a known one up here is cheaper than in
/// the family, which checks and hashes the labels each time.
template <typename Metric>
struct MetricFamily
{
    prometheus::Family<Metric> *family = nullptr;
    std::map<Metrics::Labels, Metric *> byLabels;

    template <typename Builder, typename... Arguments>
    Metric &find(Builder build, const std::string &name, prometheus::Registry &registry,
                 const Metrics::Labels &labels, const Arguments &...arguments)
    {
        if (family == nullptr)
            family = &build().Name(name).Register(registry);
        Metric *&metric = byLabels[labels];
        if (metric == nullptr)
            metric = &family->Add(labels, arguments...);
        return *metric;
    }
};

} // namespace

struct Metrics::Impl
{
    mutable std::mutex mutex;
    prometheus::Registry registry;
    std::map<std::string, MetricFamily<prometheus::Counter>> counters;
    std::map<std::string, MetricFamily<prometheus::Gauge>> gauges;
    std::map<std::string, MetricFamily<prometheus::Histogram>> histograms;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void MetricCounter::increment(double amount) const
{
    m_counter.Increment(amount);
}

MetricCounter Metrics::counter(const std::string &name, const Labels &labels)
{
    const std::scoped_lock lock(m_impl->mutex);
    return MetricCounter(
        m_impl->counters[name].find(prometheus::BuildCounter, name, m_impl->registry, labels));
}

void Metrics::increment(const std::string &name, const Labels &labels, double amount)
{
    counter(name, labels).increment(amount);
}

void Metrics::setGauge(const std::string &name, double value, const Labels &labels)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->gauges[name].find(prometheus::BuildGauge, name, m_impl->registry, labels).Set(value);
}

void Metrics::observeSeconds(const std::string &name, double seconds, const Labels &labels)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->histograms[name]
        .find(prometheus::BuildHistogram, name, m_impl->registry, labels, latencyBuckets)
        .Observe(seconds);
}

std::string Metrics::exposition() const
{
    const std::scoped_lock lock(m_impl->mutex);
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(m_impl->registry.Collect());
}

} // namespace lavenderarch
