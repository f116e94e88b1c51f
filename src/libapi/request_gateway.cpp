// Relays callers' requests with retries and idempotency key claims.
#include "lavenderarch/api/request_gateway.h"

#include "lavenderarch/core/clock.h"
#include "lavenderarch/core/error_descriptor.h"
#include "lavenderarch/http/header_names.h"
#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/metrics.h"

namespace lavenderarch {
namespace {

/// After the deadline of a request the outcome of an ambiguous attempt is still polled for this
/// long.
constexpr Milliseconds resolveGracePeriod{200};
constexpr Milliseconds outcomeWriteTimeout{5000};
constexpr std::size_t maxStoredBodyBytes = std::size_t{16} * 1024;

using Kind = AttemptOutcome::Kind;

std::string fingerprintOf(const CallerRequest &request)
{
    return contentDigest(request.http.method + " " + request.http.path + "?" + request.http.query +
                         "\n" + request.http.body);
}

ClaimRecord claimFor(const CallerRequest &request, const Announcement &endpoint)
{
    ClaimRecord claim;
    claim.key = request.key;
    claim.fingerprint = fingerprintOf(request);
    claim.attempt = RequestId(makeUniqueId());
    claim.endpoint = endpoint.endpoint;
    claim.agent = endpoint.address;
    claim.incarnation = endpoint.incarnation;
    claim.attemptDeadline = request.deadline;
    return claim;
}

ClaimRecord completed(ClaimRecord claim, const HttpResponse &response)
{
    claim.done = true;
    claim.httpStatus = response.status;
    claim.contentType = response.headers.find(header::contentType).value_or("");
    claim.body = response.body;
    return claim;
}

HttpResponse replay(const ClaimRecord &claim)
{
    HttpResponse response{claim.httpStatus, {}, claim.body};
    response.headers.set(header::contentType, claim.contentType);
    response.headers.set("Lavender-Replayed", "true");
    return response;
}

HttpResponse callerResponse(const AttemptOutcome &outcome)
{
    if (outcome.kind != Kind::Answered)
        return errorResponse(outcome.error);
    HttpResponse response{outcome.response.status, {}, outcome.response.body};
    for (const char *name : {header::contentType, header::endpoint, header::digest}) {
        if (const auto value = outcome.response.headers.find(name))
            response.headers.set(name, *value);
    }
    return response;
}

/// Ambiguous outcome for `error`. An error kind that would claim that nothing ran is replaced by
/// OutcomeUnknown.
AttemptOutcome ambiguous(const Status &error)
{
    const bool saysNotRun = errorDescriptor(kindOf(error)).outcome == RequestOutcome::NotRun;
    return {Kind::Ambiguous,
            {},
            saysNotRun ? makeError(ErrorKind::OutcomeUnknown, messageOf(error)) : error};
}

} // namespace

RequestGateway::RequestGateway(HttpTable &table, AttemptSender &sender,
                               EndpointDirectory &directory, ConfigWatcher &config,
                               ManifestHolder &manifest, Metrics &metrics)
    : m_directory(directory)
    , m_sender(sender)
    , m_config(config)
    , m_manifest(manifest)
    , m_metrics(metrics)
    , m_committer(table)
    , m_claims(table, m_committer)
{
}

HttpResponse RequestGateway::handle(const HttpRequest &request)
{
    const TimePoint startedAt = SystemClock().now();
    m_config.ensureFresh();
    const auto manifest = m_manifest.current();
    if (manifest->version() == 0)
        return errorResponse(makeError(ErrorKind::NotReady, "no manifest has been accepted yet"));
    const auto parsed = parseCallerRequest(request, *manifest, startedAt);
    HttpResponse response = parsed.ok() ? relay(*parsed) : errorResponse(parsed.status());
    if (parsed.ok())
        response.headers.set(header::requestId, parsed->id.text());
    response.headers.set(header::manifestVersion, std::to_string(manifest->version()));
    const std::string kind = response.headers.find(header::errorKind).value_or("none");
    m_metrics.increment("lavender_requests_total", {{"kind", kind}});
    const auto elapsed = SystemClock().now() - startedAt;
    m_metrics.observeSeconds("lavender_request_seconds",
                             std::chrono::duration<double>(elapsed).count());
    return response;
}

HttpResponse RequestGateway::relay(const CallerRequest &request)
{
    if (request.deadline <= SystemClock().now())
        return errorResponse(makeError(ErrorKind::DeadlineExceeded, "the deadline has passed"));
    m_directory.noteFirstAttempt();
    const bool needsClaim = !request.key.empty() && !request.idempotent;
    HttpResponse response = needsClaim ? relayClaimed(request) : relayUnclaimed(request);
    const Status error = errorFromResponse(response);
    if (!error.ok())
        logFailure("gateway", "request failed", error, {{"request", request.id.text()}});
    return response;
}

/// Asks the agent for the outcome if `outcome` is ambiguous; for requests that must not run twice.
AttemptOutcome RequestGateway::resolveIfAmbiguous(const CallerRequest &request,
                                                  const ClaimRecord &attempt,
                                                  AttemptOutcome outcome)
{
    if (outcome.kind != Kind::Ambiguous)
        return outcome;
    AttemptOutcome resolved = m_sender.resolve(attempt, request.deadline + resolveGracePeriod);
    if (resolved.kind == Kind::Answered)
        resolved.response.headers.set(header::endpoint, attempt.endpoint.text());
    return resolved.kind == Kind::Ambiguous ? ambiguous(outcome.error) : resolved;
}

HttpResponse RequestGateway::relayUnclaimed(const CallerRequest &request)
{
    std::set<EndpointId> tried;
    bool mayHaveRun = false;
    AttemptOutcome last{
        Kind::NotRun,
        {},
        makeError(ErrorKind::NoEndpoint,
                  "no endpoint of service " + request.service.text() + " is reachable")};
    for (int attempt = 0; attempt < request.maxAttempts; ++attempt) {
        const TimePoint now = SystemClock().now();
        if (attempt > 0 && (now >= request.deadline || !m_directory.tryRetry()))
            break;
        const auto endpoint = m_directory.choose(request.service, tried, now);
        if (!endpoint)
            break;
        tried.insert(endpoint->endpoint);
        const ClaimRecord claim = claimFor(request, *endpoint);
        last = m_sender.send(request, claim.attempt, *endpoint);
        if (!request.idempotent)
            last = resolveIfAmbiguous(request, claim, std::move(last));
        mayHaveRun = mayHaveRun || last.kind == Kind::Ambiguous;
        const bool retryable =
            last.kind == Kind::NotRun || (last.kind == Kind::Ambiguous && request.idempotent);
        if (!retryable)
            break;
    }
    if (last.kind != Kind::Answered && mayHaveRun)
        last = ambiguous(last.error);
    return callerResponse(last);
}

HttpResponse RequestGateway::relayClaimed(const CallerRequest &request)
{
    while (true) {
        const auto existing = m_claims.find(request.service, request.key, request.deadline);
        if (!existing.ok())
            return errorResponse(
                makeError(ErrorKind::StoreUnavailable, messageOf(existing.status())));
        std::int64_t rowVersion = existing->rowVersion;
        if (rowVersion != 0) {
            HttpResponse earlierResponse;
            const auto reusableVersion = resolveExistingClaim(request, *existing, earlierResponse);
            if (!reusableVersion.ok())
                return earlierResponse;
            rowVersion = *reusableVersion;
        }
        HttpResponse response = runUnderClaim(request, rowVersion);
        const bool lostRace = kindOf(errorFromResponse(response)) == ErrorKind::Conflict &&
                              !errorFromResponse(response).ok();
        if (!lostRace || SystemClock().now() >= request.deadline)
            return response;
    }
}

/// Handles a key that is already claimed. Returns the row version of the claim when it is proven
/// that the attempt named in it never ran; otherwise fills `response` and returns an error.
StatusOr<std::int64_t> RequestGateway::resolveExistingClaim(const CallerRequest &request,
                                                            const VersionedClaim &existing,
                                                            HttpResponse &response)
{
    const Status responseFilled = makeError(ErrorKind::InProgress, "the key is claimed");
    const ClaimRecord &claim = existing.record;
    if (claim.fingerprint != fingerprintOf(request)) {
        response = errorResponse(makeError(ErrorKind::KeyMismatch,
                                           std::string("header ") + header::idempotencyKey +
                                               ": the key is already used by a different request"));
        return responseFilled;
    }
    if (claim.done) {
        response = replay(claim);
        return responseFilled;
    }
    const AttemptOutcome outcome = m_sender.resolve(claim, request.deadline);
    if (outcome.kind == Kind::NotRun)
        return existing.rowVersion;
    if (outcome.kind == Kind::Answered)
        m_claims.recordOutcome(request.service, completed(claim, outcome.response),
                               existing.rowVersion, SystemClock().now() + outcomeWriteTimeout);
    response = outcome.kind == Kind::Answered ? replay(completed(claim, outcome.response))
                                              : errorResponse(ambiguous(outcome.error).error);
    return responseFilled;
}

/// Chooses an endpoint and stores a claim that names the only attempt that may run.
StatusOr<VersionedClaim> RequestGateway::claimNextAttempt(const CallerRequest &request,
                                                          std::int64_t rowVersion,
                                                          const std::set<EndpointId> &tried)
{
    const auto endpoint = m_directory.choose(request.service, tried, SystemClock().now());
    if (!endpoint)
        return makeError(ErrorKind::NoEndpoint,
                         "no endpoint of service " + request.service.text() + " is reachable");
    const ClaimRecord claim = claimFor(request, *endpoint);
    Status claimed = m_claims.replace(request.service, claim, rowVersion, request.deadline);
    if (claimed.ok()) {
        const auto stored = m_claims.find(request.service, request.key, request.deadline);
        if (stored.ok() && stored->record == claim)
            return *stored;
        claimed = makeError(ErrorKind::Conflict, "the key is claimed by another request");
    }
    m_directory.noteResult(endpoint->endpoint, AttemptResult::Refused, Milliseconds(0), 0,
                           SystemClock().now());
    // The claim may have been stored, but its attempt is never sent and thus never runs.
    const bool conflict = kindOf(claimed) == ErrorKind::Conflict;
    return conflict ? claimed : makeError(ErrorKind::StoreUnavailable, messageOf(claimed));
}

HttpResponse RequestGateway::runUnderClaim(const CallerRequest &request, std::int64_t rowVersion)
{
    std::set<EndpointId> tried;
    AttemptOutcome last{Kind::NotRun, {}, makeError(ErrorKind::NoEndpoint, "no endpoint")};
    for (int attempt = 0; attempt < request.maxAttempts; ++attempt) {
        if (attempt > 0 && (SystemClock().now() >= request.deadline || !m_directory.tryRetry()))
            break;
        const auto claimed = claimNextAttempt(request, rowVersion, tried);
        if (!claimed.ok())
            return errorResponse(claimed.status());
        const ClaimRecord &claim = claimed->record;
        rowVersion = claimed->rowVersion;
        tried.insert(claim.endpoint);
        Announcement endpoint;
        endpoint.endpoint = claim.endpoint;
        endpoint.address = claim.agent;
        endpoint.incarnation = claim.incarnation;
        last = resolveIfAmbiguous(request, claim, m_sender.send(request, claim.attempt, endpoint));
        if (last.kind == Kind::Answered && last.response.body.size() <= maxStoredBodyBytes)
            m_claims.recordOutcome(request.service, completed(claim, last.response), rowVersion,
                                   SystemClock().now() + outcomeWriteTimeout);
        if (last.kind != Kind::NotRun)
            break;
    }
    return callerResponse(last);
}

} // namespace lavenderarch
