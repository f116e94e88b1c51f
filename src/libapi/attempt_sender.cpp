// Sends attempts, verifies the responses and resolves unknown outcomes.
#include "lavenderarch/api/attempt_sender.h"

#include "lavenderarch/core/clock.h"
#include "lavenderarch/core/digest.h"
#include "lavenderarch/core/error_descriptor.h"
#include "lavenderarch/http/header_names.h"
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/protocol/resolve_reply.h"
#include "lavenderarch/protocol/resolve_request.h"
#include "lavenderarch/telemetry/metrics.h"

#include <algorithm>
#include <thread>

namespace lavenderarch {
namespace {

constexpr Milliseconds resolveRetryDelay{25};
constexpr Milliseconds resolveCallTimeout{300};

using Kind = AttemptOutcome::Kind;

int numberOr(const std::optional<std::string> &text, int fallback)
{
    return text ? std::atoi(text->c_str()) : fallback;
}

HttpRequest relayRequest(const CallerRequest &request, const RequestId &attempt,
                         const Announcement &endpoint)
{
    HttpRequest relay{request.http.method,
                      "/relay" + request.http.path,
                      request.http.query,
                      {},
                      request.http.body};
    relay.headers.set(header::requestId, request.id.text());
    relay.headers.set(header::attempt, attempt.text());
    relay.headers.set(header::incarnation, std::to_string(endpoint.incarnation));
    relay.headers.set(header::deadline, std::to_string(toEpochMs(request.deadline)));
    relay.headers.set(header::workClass, request.latencyCritical ? "latency-critical" : "batch");
    relay.headers.set(header::manifestVersion, std::to_string(request.manifestVersion));
    if (!request.key.empty())
        relay.headers.set(header::idempotencyKey, request.key);
    for (const char *name : {header::contentType, header::customer, "Accept"}) {
        if (const auto value = request.http.headers.find(name))
            relay.headers.set(name, *value);
    }
    return relay;
}

AttemptResult attemptResultOf(const AttemptOutcome &outcome)
{
    if (outcome.kind == Kind::Answered)
        return AttemptResult::Answered;
    const bool reached =
        outcome.kind == Kind::NotRun && kindOf(outcome.error) != ErrorKind::Unreachable;
    return reached ? AttemptResult::Refused : AttemptResult::Failed;
}

const char *nameOf(Kind kind)
{
    switch (kind) {
    case Kind::Answered:
        return "answered";
    case Kind::NotRun:
        return "not-run";
    case Kind::Ambiguous:
        break;
    }
    return "ambiguous";
}

AttemptOutcome outcomeOf(const ResolveReply &reply)
{
    if (reply.fate == RequestFate::NotRun)
        return {Kind::NotRun, {}, makeError(ErrorKind::Unreachable, "the request never started")};
    if (reply.fate == RequestFate::Done && reply.hasAnswer)
        return {Kind::Answered,
                {reply.httpStatus, {{header::contentType, reply.contentType}}, reply.body},
                absl::OkStatus()};
    return {Kind::Ambiguous, {}, makeError(ErrorKind::OutcomeUnknown, "the outcome is unknown")};
}

} // namespace

AttemptSender::AttemptSender(HttpClient &client, EndpointDirectory &directory, Metrics &metrics)
    : m_client(client)
    , m_channel(client)
    , m_directory(directory)
    , m_metrics(metrics)
{
}

AttemptOutcome AttemptSender::classifyResponse(const StatusOr<HttpResponse> &response) const
{
    if (!response.ok()) {
        const bool sent = kindOf(response.status()) != ErrorKind::Unreachable;
        return {sent ? Kind::Ambiguous : Kind::NotRun, {}, response.status()};
    }
    const Status error = errorFromResponse(*response);
    if (!error.ok()) {
        const bool notRun = errorDescriptor(kindOf(error)).outcome == RequestOutcome::NotRun;
        return {notRun ? Kind::NotRun : Kind::Ambiguous, {}, error};
    }
    if (response->headers.find(header::digest) != contentDigest(response->body))
        return {Kind::Ambiguous,
                {},
                makeError(ErrorKind::CorruptedAnswer, "the response does not match its digest")};
    return {Kind::Answered, *response, absl::OkStatus()};
}

AttemptOutcome AttemptSender::send(const CallerRequest &request, const RequestId &attempt,
                                   const Announcement &endpoint)
{
    const TimePoint startedAt = SystemClock().now();
    const auto response = m_client.exchange(
        endpoint.address, relayRequest(request, attempt, endpoint), request.deadline);
    const TimePoint endedAt = SystemClock().now();
    AttemptOutcome outcome = classifyResponse(response);
    const int load = response.ok() ? numberOr(response->headers.find(header::load), 0) : 0;
    m_directory.noteResult(endpoint.endpoint, attemptResultOf(outcome), endedAt - startedAt, load,
                           endedAt);
    m_metrics.increment("lavender_attempts_total", {{"result", nameOf(outcome.kind)}});
    if (outcome.kind == Kind::Answered)
        outcome.response.headers.set(header::endpoint, endpoint.endpoint.text());
    return outcome;
}

AttemptOutcome AttemptSender::resolve(const ClaimRecord &claim, TimePoint deadline)
{
    const ResolveRequest resolveRequest{claim.attempt, claim.incarnation, claim.attemptDeadline};
    Status lastError = makeError(ErrorKind::OutcomeUnknown, "the agent does not respond");
    while (true) {
        const TimePoint now = SystemClock().now();
        const TimePoint callDeadline = std::max(now, std::min(deadline, now + resolveCallTimeout));
        const auto reply =
            m_channel.call<ResolveReply>(claim.agent, "resolve", resolveRequest, callDeadline);
        if (reply.ok() && reply->fate != RequestFate::Running)
            return outcomeOf(*reply);
        if (reply.ok())
            lastError = makeError(ErrorKind::InProgress, "the request is still running");
        if (!reply.ok() && kindOf(reply.status()) == ErrorKind::StaleCommand)
            break;
        if (now + resolveRetryDelay >= deadline)
            break;
        std::this_thread::sleep_for(resolveRetryDelay);
    }
    return {Kind::Ambiguous, {}, lastError};
}

} // namespace lavenderarch
