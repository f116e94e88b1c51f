// Bounds the number of retries by the number of first attempts.
#pragma once

namespace lavenderarch {

/// Token bucket without time: each first attempt earns a part of a retry, each retry spends one.
/// Over any run, retries <= retriesPerAttempt * first attempts + maxTokens.
/// Not thread-safe.
class RetryBudget
{
public:
    /// `retriesPerAttempt`: tokens added by each first attempt; `maxTokens`: capacity of the
    /// bucket.
    RetryBudget(double retriesPerAttempt, double maxTokens)
        : m_retriesPerAttempt(retriesPerAttempt)
        , m_maxTokens(maxTokens)
    {
    }

    void noteFirstAttempt();
    /// Takes one retry from the budget; false when it is spent.
    bool tryRetry();

private:
    double m_retriesPerAttempt;
    double m_maxTokens;
    double m_tokens = 1; // invariant: 0 <= m_tokens <= m_maxTokens
};

} // namespace lavenderarch
