// Relays callers' requests to minions and enforces the retry and at-most-once rules.
#pragma once

#include "lavenderarch/api/attempt_sender.h"
#include "lavenderarch/api/config_watcher.h"
#include "lavenderarch/routing/key_claims.h"

namespace lavenderarch {

class Metrics;

/// Thread-safe. Handles /v1/services/<service>/...; see docs/API.md.
/// - An idempotent request is retried on another endpoint after any failure.
/// - Any other request is retried only when it is proven that the previous attempt did not run.
/// - A non-idempotent request with a key first claims the key in the table service.
class RequestGateway
{
public:
    RequestGateway(HttpTable &table, AttemptSender &sender, EndpointDirectory &directory,
                   ConfigWatcher &config, ManifestHolder &manifest, Metrics &metrics);

    HttpResponse handle(const HttpRequest &request);

private:
    using Claims = KeyClaims<HttpTable>;

    HttpResponse relay(const CallerRequest &request);
    HttpResponse relayUnclaimed(const CallerRequest &request);
    HttpResponse relayClaimed(const CallerRequest &request);
    HttpResponse runUnderClaim(const CallerRequest &request, std::int64_t rowVersion);
    StatusOr<std::int64_t> resolveExistingClaim(const CallerRequest &request,
                                                const VersionedClaim &existing,
                                                HttpResponse &response);
    StatusOr<VersionedClaim> claimNextAttempt(const CallerRequest &request, std::int64_t rowVersion,
                                              const std::set<EndpointId> &tried);
    AttemptOutcome resolveIfAmbiguous(const CallerRequest &request, const ClaimRecord &attempt,
                                      AttemptOutcome outcome);

    EndpointDirectory &m_directory;
    AttemptSender &m_sender;
    ConfigWatcher &m_config;
    ManifestHolder &m_manifest;
    Metrics &m_metrics;
    GroupCommitter<HttpTable> m_committer;
    Claims m_claims;
};

} // namespace lavenderarch
