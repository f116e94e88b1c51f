// Admission, forwarding and outcome records of relayed requests.
#include "lavenderarch/api/agent_relay.h"

#include "lavenderarch/core/clock.h"
#include "lavenderarch/core/digest.h"
#include "lavenderarch/http/header_names.h"
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/telemetry/metrics.h"

#include <cstdlib>

namespace lavenderarch {
namespace {

constexpr std::string_view relayPrefix = "/relay";

std::int64_t numberHeader(const HttpRequest &request, const char *name)
{
    const auto text = request.headers.find(name);
    return text ? std::strtoll(text->c_str(), nullptr, 10) : 0;
}

HttpRequest minionRequest(const HttpRequest &request, const std::string &path)
{
    HttpRequest forwarded{request.method, path, request.query, {}, request.body};
    for (const char *name : {header::requestId, header::attempt, header::idempotencyKey,
                             header::deadline, header::contentType, header::customer, "Accept"}) {
        if (const auto value = request.headers.find(name))
            forwarded.headers.set(name, *value);
    }
    return forwarded;
}

} // namespace

AgentRelay::AgentRelay(AgentRelayOptions options, HttpClient &client, ManifestHolder &manifest,
                       Metrics &metrics, std::function<void()> refreshManifest)
    : m_options(std::move(options))
    , m_client(client)
    , m_manifest(manifest)
    , m_metrics(metrics)
    , m_refreshManifest(std::move(refreshManifest))
    , m_queue(m_options.limits)
{
}

StatusOr<AgentRelay::RelayHead> AgentRelay::parseHead(const HttpRequest &request) const
{
    const auto attempt = request.headers.find(header::attempt);
    if (!attempt || attempt->empty())
        return makeError(ErrorKind::InvalidRequest,
                         std::string("header ") + header::attempt + " is missing");
    if (numberHeader(request, header::incarnation) != m_options.incarnation)
        return makeError(ErrorKind::StaleCommand,
                         "the request names another incarnation of this agent");
    RelayHead head;
    head.admission.request = RequestId(*attempt);
    head.admission.latencyCritical = request.headers.find(header::workClass) != "batch";
    head.admission.deadline = fromEpochMs(numberHeader(request, header::deadline));
    head.path = request.path.substr(relayPrefix.size());
    return head;
}

Status AgentRelay::requireManifest(std::int64_t requiredVersion)
{
    if (m_manifest.version() >= requiredVersion)
        return absl::OkStatus();
    m_refreshManifest();
    if (m_manifest.version() >= requiredVersion)
        return absl::OkStatus();
    return makeError(ErrorKind::NotReady, "manifest version " + std::to_string(requiredVersion) +
                                              " has not been received yet");
}

void AgentRelay::publish(const std::vector<AdmissionDecision> &decisions)
{
    bool anyDecided = false;
    for (const AdmissionDecision &decision : decisions) {
        if (decision.action == AdmissionDecision::Action::Wait)
            continue;
        m_decisions[decision.request] = decision;
        anyDecided = true;
    }
    if (anyDecided)
        m_decided.notify_all();
}

/// Waits for a slot. After an error the attempt has not started and is refused from then on, except
/// for InProgress: an earlier delivery of the attempt has started.
Status AgentRelay::admit(const AdmissionRequest &admission)
{
    std::unique_lock lock(m_mutex);
    const auto beginResult = m_attempts.begin(admission.request, admission.deadline);
    if (beginResult == AttemptTable::Begin::Forbidden)
        return makeError(ErrorKind::StaleCommand, "the attempt was resolved as not run");
    if (beginResult == AttemptTable::Begin::Duplicate)
        return makeError(ErrorKind::InProgress, "the attempt was already received");
    publish(m_queue.offer(admission, SystemClock().now()));
    m_decided.wait(lock, [&] { return m_decisions.count(admission.request) != 0; });
    const AdmissionDecision decision = m_decisions.extract(admission.request).mapped();
    if (decision.action == AdmissionDecision::Action::Start)
        return absl::OkStatus();
    m_attempts.cancel(admission.request);
    const ErrorKind kind = decision.refusal.value_or(ErrorKind::Overloaded);
    return makeError(kind, "endpoint " + m_options.endpoint.text() + " did not admit the request");
}

void AgentRelay::finish(const RequestId &request, const ResolveReply &outcome, Milliseconds elapsed)
{
    const std::scoped_lock lock(m_mutex);
    const TimePoint now = SystemClock().now();
    m_attempts.finish(request, outcome, now);
    publish(m_queue.finish(elapsed, now));
}

void AgentRelay::cancel(const RequestId &request, Milliseconds elapsed)
{
    const std::scoped_lock lock(m_mutex);
    m_attempts.cancel(request);
    publish(m_queue.finish(elapsed, SystemClock().now()));
}

/// Forwards an admitted request to the minion and records the outcome.
HttpResponse AgentRelay::forward(const HttpRequest &request, const RelayHead &head)
{
    const TimePoint startedAt = SystemClock().now();
    auto minionResponse = m_client.exchange(m_options.minion, minionRequest(request, head.path),
                                            head.admission.deadline);
    const Milliseconds elapsed = SystemClock().now() - startedAt;
    if (!minionResponse.ok() && kindOf(minionResponse.status()) == ErrorKind::Unreachable) {
        cancel(head.admission.request, elapsed);
        return errorResponse(minionResponse.status());
    }
    ResolveReply outcome;
    if (minionResponse.ok())
        outcome = {RequestFate::Done, true, minionResponse->status,
                   minionResponse->headers.find(header::contentType).value_or(""),
                   minionResponse->body};
    finish(head.admission.request, outcome, elapsed);
    if (!minionResponse.ok())
        return errorResponse(minionResponse.status());
    HttpResponse response{minionResponse->status, {}, std::move(minionResponse->body)};
    response.headers.set(header::contentType, outcome.contentType);
    response.headers.set(header::digest, contentDigest(response.body));
    return response;
}

HttpResponse AgentRelay::relay(const HttpRequest &request)
{
    const auto head = parseHead(request);
    Status admitted =
        head.ok() ? requireManifest(numberHeader(request, header::manifestVersion)) : head.status();
    if (admitted.ok())
        admitted = admit(head->admission);
    HttpResponse response = admitted.ok() ? forward(request, *head) : errorResponse(admitted);
    response.headers.set(header::load, std::to_string(running() + waiting()));
    response.headers.set(header::manifestVersion, std::to_string(m_manifest.version()));
    const std::string kind = response.headers.find(header::errorKind).value_or("none");
    m_metrics.increment("lavender_relayed_total", {{"kind", kind}});
    return response;
}

StatusOr<ResolveReply> AgentRelay::resolve(const ResolveRequest &request)
{
    if (request.incarnation != m_options.incarnation)
        return makeError(ErrorKind::StaleCommand,
                         "the request names another incarnation of this agent");
    const std::scoped_lock lock(m_mutex);
    return m_attempts.resolve(request.request, request.requestDeadline);
}

void AgentRelay::drain()
{
    const std::scoped_lock lock(m_mutex);
    m_queue.drain();
}

void AgentRelay::tick(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    publish(m_queue.expire(now));
    m_attempts.prune(now);
}

int AgentRelay::running() const
{
    const std::scoped_lock lock(m_mutex);
    return m_queue.running();
}

int AgentRelay::waiting() const
{
    const std::scoped_lock lock(m_mutex);
    return m_queue.waiting();
}

} // namespace lavenderarch
