// Handles a request at the agent: admission control, forwarding to the minion, recording the
// outcome.
#pragma once

#include "lavenderarch/api/agent_relay_options.h"
#include "lavenderarch/config/manifest_holder.h"
#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"
#include "lavenderarch/protocol/resolve_request.h"
#include "lavenderarch/routing/admission_queue.h"
#include "lavenderarch/routing/attempt_table.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace lavenderarch {

class HttpClient;
class Metrics;

/// Thread-safe: each relayed request occupies one thread. m_mutex guards the admission queue, the
/// attempt table and the decisions; no other lock is taken while it is held.
class AgentRelay
{
public:
    /// `refreshManifest` is called on the request's thread when an entry holds a newer manifest
    /// than this process.
    AgentRelay(AgentRelayOptions options, HttpClient &client, ManifestHolder &manifest,
               Metrics &metrics, std::function<void()> refreshManifest);

    /// Relays a request that an entry sent to /relay/... Blocks until the minion responds or the
    /// request is refused.
    HttpResponse relay(const HttpRequest &request);
    /// State of an attempt. An attempt that has not started is forbidden from then on. StaleCommand
    /// when the request names another incarnation of this agent.
    StatusOr<ResolveReply> resolve(const ResolveRequest &request);

    /// Refuses later requests; waiting and running requests still finish.
    void drain();
    /// Refuses waiting requests whose deadline passed and removes expired attempt records.
    void tick(TimePoint now);
    int running() const;
    int waiting() const;

private:
    struct RelayHead
    {
        AdmissionRequest admission;
        std::string path;
    };

    StatusOr<RelayHead> parseHead(const HttpRequest &request) const;
    Status requireManifest(std::int64_t requiredVersion);
    Status admit(const AdmissionRequest &admission);
    HttpResponse forward(const HttpRequest &request, const RelayHead &head);
    void publish(const std::vector<AdmissionDecision> &decisions);
    void finish(const RequestId &request, const ResolveReply &outcome, Milliseconds elapsed);
    void cancel(const RequestId &request, Milliseconds elapsed);

    AgentRelayOptions m_options;
    HttpClient &m_client;
    ManifestHolder &m_manifest;
    Metrics &m_metrics;
    std::function<void()> m_refreshManifest;
    mutable std::mutex m_mutex;
    std::condition_variable m_decided;
    AdmissionQueue m_queue;                             // guarded by m_mutex
    AttemptTable m_attempts;                            // guarded by m_mutex
    std::map<RequestId, AdmissionDecision> m_decisions; // guarded by m_mutex
};

} // namespace lavenderarch
