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

} // namespace

struct Metrics::Impl
{
    mutable std::mutex mutex;
    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> histograms;
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
    auto &family = m_impl->counters[name];
    if (family == nullptr)
        family = &prometheus::BuildCounter().Name(name).Register(m_impl->registry);
    return MetricCounter(family->Add(labels));
}

void Metrics::increment(const std::string &name, const Labels &labels, double amount)
{
    counter(name, labels).increment(amount);
}

void Metrics::setGauge(const std::string &name, double value, const Labels &labels)
{
    const std::scoped_lock lock(m_impl->mutex);
    auto &family = m_impl->gauges[name];
    if (family == nullptr)
        family = &prometheus::BuildGauge().Name(name).Register(m_impl->registry);
    family->Add(labels).Set(value);
}

void Metrics::observeSeconds(const std::string &name, double seconds, const Labels &labels)
{
    const std::scoped_lock lock(m_impl->mutex);
    auto &family = m_impl->histograms[name];
    if (family == nullptr)
        family = &prometheus::BuildHistogram().Name(name).Register(m_impl->registry);
    family->Add(labels, latencyBuckets).Observe(seconds);
}

std::string Metrics::exposition() const
{
    const std::scoped_lock lock(m_impl->mutex);
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(m_impl->registry.Collect());
}

} // namespace lavenderarch
