// Refill and use of the retry budget.
#include "lavenderarch/routing/retry_budget.h"

#include <algorithm>

namespace lavenderarch {

void RetryBudget::noteFirstAttempt()
{
    m_tokens = std::min(m_maxTokens, m_tokens + m_retriesPerAttempt);
}

bool RetryBudget::tryRetry()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace lavenderarch
