// A counter of a metrics registry with its labels already looked up.
#pragma once

namespace prometheus {
class Counter;
}

namespace lavenderarch {

/// Refers to a counter of a Metrics object, which must outlive it. Thread-safe.
class MetricCounter
{
public:
    explicit MetricCounter(prometheus::Counter &counter)
        : m_counter(counter)
    {
    }

    void increment(double amount = 1) const;

private:
    prometheus::Counter &m_counter;
};

} // namespace lavenderarch
