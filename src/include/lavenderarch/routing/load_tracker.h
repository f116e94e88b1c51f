// Load and health of the endpoints that one entry sends requests to.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/time.h"

#include <map>

namespace lavenderarch {

/// Result of an attempt with regard to the health of the endpoint.
enum class AttemptResult {
    Answered, ///< a complete response
    Refused,  ///< refused by the agent: overloaded, but healthy
    Failed    ///< unreachable, no response or a corrupted one
};

/// Tracks outstanding attempts, failures and a moving average of the response time per endpoint.
/// Outlier ejection: an endpoint that fails repeatedly is ejected for a time that doubles with each
/// ejection. After it, one probe request at a time decides whether the endpoint is used again;
/// after a successful probe slow start raises its load gradually. Not thread-safe.
class LoadTracker
{
public:
    void noteSent(const EndpointId &endpoint, TimePoint now);
    void noteResult(const EndpointId &endpoint, AttemptResult result, Milliseconds elapsed,
                    int reportedLoad, TimePoint now);
    /// Resets the state of a new or returned endpoint and begins its slow start.
    void noteEndpointAdded(const EndpointId &endpoint, TimePoint now);
    /// Records the load that the agent announced.
    void noteLoad(const EndpointId &endpoint, int load);

    /// Whether a request may be sent to the endpoint: it is neither ejected nor being probed.
    bool isUsable(const EndpointId &endpoint, TimePoint now) const;
    /// Expected response time in ms of one more request at an endpoint with `slots`, including the
    /// queueing time when no slot is free. Lower is better.
    double score(const EndpointId &endpoint, int slots, TimePoint now) const;
    /// Estimated number of requests at the endpoint: the larger of the outstanding attempts of this
    /// entry and the load last reported by the agent.
    int load(const EndpointId &endpoint) const;

private:
    struct Record
    {
        int outstanding = 0;
        int reportedLoad = 0;
        double responseTimeMs = 5;
        int consecutiveFailures = 0;
        int ejections = 0;
        TimePoint ejectedUntil;
        TimePoint slowStartEndsAt;
        bool probing = false; ///< the outstanding attempt is a probe
    };

    static void noteFailure(Record &record, TimePoint now);

    std::map<EndpointId, Record> m_records;
};

} // namespace lavenderarch
