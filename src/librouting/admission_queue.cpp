// Admission control: early refusal by expected waiting time, slot assignment by class.
#include "lavenderarch/routing/admission_queue.h"

#include "lavenderarch/core/invariant.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr double smoothingFactor = 0.1;

using Action = AdmissionDecision::Action;

} // namespace

int AdmissionQueue::waiting() const
{
    return static_cast<int>(m_critical.size() + m_batch.size());
}

AdmissionDecision AdmissionQueue::refuse(const AdmissionRequest &admission, ErrorKind kind)
{
    return {admission.request, Action::Refuse, kind};
}

double AdmissionQueue::expectedWaitMs(const AdmissionRequest &admission) const
{
    const std::size_t ahead =
        admission.latencyCritical ? m_critical.size() : m_critical.size() + m_batch.size();
    return m_serviceTimeMs * static_cast<double>(ahead + 1) / m_limits.slots;
}

std::vector<AdmissionDecision> AdmissionQueue::offer(const AdmissionRequest &admission,
                                                     TimePoint now)
{
    if (m_draining)
        return {refuse(admission, ErrorKind::Draining)};
    const double remainingMs = static_cast<double>((admission.deadline - now).count());
    if (remainingMs <= 0)
        return {refuse(admission, ErrorKind::DeadlineExceeded)};
    if (m_running < m_limits.slots) {
        ++m_running;
        return {{admission.request, Action::Start, std::nullopt}};
    }
    if (m_limits.refuseEarly && expectedWaitMs(admission) + m_serviceTimeMs > remainingMs)
        return {refuse(admission, ErrorKind::Overloaded)};
    std::vector<AdmissionDecision> decisions;
    if (waiting() >= m_limits.maxWaiting) {
        if (!admission.latencyCritical || m_batch.empty())
            return {refuse(admission, ErrorKind::Overloaded)};
        decisions.push_back(refuse(m_batch.back(), ErrorKind::Overloaded));
        m_batch.pop_back();
    }
    (admission.latencyCritical ? m_critical : m_batch).push_back(admission);
    decisions.push_back({admission.request, Action::Wait, std::nullopt});
    return decisions;
}

void AdmissionQueue::startWaiting(Waiting &waiting, TimePoint now,
                                  std::vector<AdmissionDecision> &decisions)
{
    while (!waiting.empty() && m_running < m_limits.slots) {
        const AdmissionRequest admission = waiting.front();
        waiting.pop_front();
        if (admission.deadline <= now) {
            decisions.push_back(refuse(admission, ErrorKind::DeadlineExceeded));
            continue;
        }
        ++m_running;
        decisions.push_back({admission.request, Action::Start, std::nullopt});
    }
}

std::vector<AdmissionDecision> AdmissionQueue::finish(Milliseconds elapsed, TimePoint now)
{
    --m_running;
    LAVENDER_INVARIANT(m_running >= 0, "a slot was released twice");
    const double sample = static_cast<double>(elapsed.count());
    m_serviceTimeMs = m_serviceTimeMs == 0
                          ? sample
                          : m_serviceTimeMs + smoothingFactor * (sample - m_serviceTimeMs);
    std::vector<AdmissionDecision> decisions;
    startWaiting(m_critical, now, decisions);
    startWaiting(m_batch, now, decisions);
    LAVENDER_INVARIANT(m_running <= m_limits.slots, "more requests run than the minion has slots");
    return decisions;
}

std::vector<AdmissionDecision> AdmissionQueue::expire(TimePoint now)
{
    std::vector<AdmissionDecision> decisions;
    for (Waiting *waiting : {&m_critical, &m_batch}) {
        const auto expired = std::stable_partition(
            waiting->begin(), waiting->end(),
            [now](const AdmissionRequest &admission) { return admission.deadline > now; });
        for (auto it = expired; it != waiting->end(); ++it)
            decisions.push_back(refuse(*it, ErrorKind::DeadlineExceeded));
        waiting->erase(expired, waiting->end());
    }
    return decisions;
}

} // namespace lavenderarch
