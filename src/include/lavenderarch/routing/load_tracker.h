// What one entry knows of the load and health of the endpoints it sends to.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/time.h"

#include <map>

namespace lavenderarch {

/// How an attempt ended, as far as it tells of the endpoint's health.
enum class AttemptResult {
    Answered, ///< a whole answer
    Refused,  ///< the agent refused: busy, not broken
    Failed    ///< unreachable, no answer, or a corrupted one
};

/// Keeps outstanding attempts, a moving average of the answer time and failures per endpoint.
/// An endpoint that fails repeatedly is ejected for a time that doubles; afterwards one probe at a
/// time decides whether it returns, and its load grows slowly. Not thread-safe.
class LoadTracker
{
public:
    void noteSent(const EndpointId &endpoint, TimePoint now);
    void noteResult(const EndpointId &endpoint, AttemptResult result, Milliseconds elapsed,
                    int reportedLoad, TimePoint now);
    /// Starts slow start for an endpoint that is new or has returned.
    void noteEndpointAdded(const EndpointId &endpoint, TimePoint now);
    /// Takes the load that an agent announced.
    void noteLoad(const EndpointId &endpoint, int load);

    /// Whether the endpoint may be sent a request now.
    bool isUsable(const EndpointId &endpoint, TimePoint now) const;
    /// Expected answer time in ms of one more request at an endpoint with `slots`: the answer time
    /// while a slot is free, and the queue on top of it when none is. Lower is better.
    double score(const EndpointId &endpoint, int slots, TimePoint now) const;
    /// Requests believed to be at the endpoint: the larger of the attempts sent from here that have
    /// not ended and the load last reported by the agent.
    int load(const EndpointId &endpoint) const;

private:
    struct Entry
    {
        int outstanding = 0;
        int reportedLoad = 0;
        double responseTimeMs = 5;
        int consecutiveFailures = 0;
        int ejections = 0;
        TimePoint ejectedUntil;
        TimePoint slowStartEndsAt; ///< end of slow start
        bool probing = false;      ///< one attempt decides about the return
    };

    static void noteFailure(Entry &entry, TimePoint now);

    std::map<EndpointId, Entry> m_entries;
};

} // namespace lavenderarch
