// Admission control for the slots of one minion. Does no I/O and reads no clock.
#pragma once

#include "lavenderarch/core/error_kind.h"
#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/routing/admission_decision.h"
#include "lavenderarch/routing/admission_limits.h"
#include "lavenderarch/routing/admission_request.h"

#include <deque>
#include <optional>
#include <vector>

namespace lavenderarch {

/// Assigns the slots of one minion. Latency-critical requests go before batch ones; a request that
/// cannot finish before its deadline, judged by the average service time, is refused at once.
/// Not thread-safe.
///
///     for (const AdmissionDecision &decision : queue.offer(admission, now)) ...
///     for (const AdmissionDecision &decision : queue.finish(elapsed, now)) ...
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionLimits limits)
        : m_limits(limits)
    {
    }

    /// Decides about `admission`; may refuse a waiting batch request to make room.
    std::vector<AdmissionDecision> offer(const AdmissionRequest &admission, TimePoint now);
    /// Releases a slot that was held for `elapsed` and decides about the waiting requests.
    std::vector<AdmissionDecision> finish(Milliseconds elapsed, TimePoint now);
    /// Refuses waiting requests whose deadline has passed.
    std::vector<AdmissionDecision> expire(TimePoint now);
    /// Refuses every later offer with ErrorKind::Draining; waiting requests still run.
    void drain() { m_draining = true; }

    int running() const { return m_running; }
    int waiting() const;
    bool isDraining() const { return m_draining; }

private:
    using Waiting = std::deque<AdmissionRequest>;

    double expectedWaitMs(const AdmissionRequest &admission) const;
    void startWaiting(Waiting &waiting, TimePoint now, std::vector<AdmissionDecision> &decisions);
    static AdmissionDecision refuse(const AdmissionRequest &admission, ErrorKind kind);

    AdmissionLimits m_limits;
    int m_running = 0; // invariant: 0 <= m_running <= m_limits.slots
    bool m_draining = false;
    double m_serviceTimeMs = 0; // moving average of the time a slot is held; 0: no sample yet
    Waiting m_critical;
    Waiting m_batch;
};

} // namespace lavenderarch
