// Sends attempts to agents and resolves their outcome.
#pragma once

#include "lavenderarch/api/attempt_outcome.h"
#include "lavenderarch/api/caller_request.h"
#include "lavenderarch/api/endpoint_directory.h"
#include "lavenderarch/protocol/rpc_channel.h"
#include "lavenderarch/routing/claim_record.h"

#include <functional>

namespace lavenderarch {

class HttpClient;
class Metrics;

/// Thread-safe. Keeps references only; the referenced objects outlive the sender.
class AttemptSender
{
public:
    AttemptSender(HttpClient &client, EndpointDirectory &directory, Metrics &metrics);

    /// Sends `attempt` of `request` to the agent of `endpoint` and verifies length and digest of
    /// the response. Blocks until the deadline of the request at most.
    AttemptOutcome send(const CallerRequest &request, const RequestId &attempt,
                        const Announcement &endpoint);

    /// Polls the agent named in `claim` for the outcome of its attempt until `deadline`. NotRun is
    /// final: the agent refuses the attempt from then on.
    AttemptOutcome resolve(const ClaimRecord &claim, TimePoint deadline);

private:
    AttemptOutcome classifyResponse(const StatusOr<HttpResponse> &response) const;

    HttpClient &m_client;
    RpcChannel m_channel;
    EndpointDirectory &m_directory;
    Metrics &m_metrics;
};

} // namespace lavenderarch
