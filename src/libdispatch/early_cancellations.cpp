// Bookkeeping of cancellations without a job.
#include "lavenderarch/dispatch/early_cancellations.h"

namespace lavenderarch {

bool EarlyCancellations::add(const std::string &job, BootTime expires)
{
    const bool added = m_expiries.try_emplace(job, expires).second;
    if (added)
        m_added.emplace_back(expires, job);
    return added;
}

bool EarlyCancellations::take(const std::string &job)
{
    return m_expiries.erase(job) != 0;
}

std::optional<std::string> EarlyCancellations::takeExpired(BootTime now)
{
    while (!m_added.empty() && m_added.front().first <= now) {
        auto [expires, job] = std::move(m_added.front());
        m_added.pop_front();
        const auto kept = m_expiries.find(job);
        if (kept == m_expiries.end() || kept->second != expires)
            continue;
        m_expiries.erase(kept);
        return std::move(job);
    }
    return std::nullopt;
}

} // namespace lavenderarch
