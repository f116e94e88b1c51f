// Limits retries to a fraction of the first attempts.
#pragma once

namespace lavenderarch {

/// Token bucket that is refilled by first attempts instead of time; each retry takes one token.
/// Over any sequence, retries <= retriesPerAttempt * first attempts + maxTokens. Not thread-safe.
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
    /// Takes one token; false when none is left and the retry must not be sent.
    bool tryRetry();

private:
    double m_retriesPerAttempt;
    double m_maxTokens;
    double m_tokens = 1; // invariant: 0 <= m_tokens <= m_maxTokens
};

} // namespace lavenderarch
