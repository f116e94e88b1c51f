// Creates and connects the components of an agent.
#include "lavenderarch/api/agent_daemon.h"

#include "lavenderarch/api/agent_relay.h"
#include "lavenderarch/api/announcer.h"
#include "lavenderarch/api/health_endpoints.h"
#include "lavenderarch/api/periodic_task.h"
#include "lavenderarch/core/clock.h"
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/http/http_server.h"
#include "lavenderarch/protocol/rpc_server.h"
#include "lavenderarch/telemetry/log.h"

#include <atomic>
#include <thread>

namespace lavenderarch {
namespace {

constexpr Milliseconds tickInterval{20};
constexpr Milliseconds drainPollInterval{10};
/// Queue limit of the baseline, which is in effect unlimited.
constexpr int baselineMaxWaiting = 1'000'000;
/// After the last response the agent stays up for this long, so that entries can still resolve the
/// outcome of their attempts.
constexpr Milliseconds resolveGracePeriod{500};

AgentRelayOptions relayOptions(const AgentSettings &settings, std::int64_t incarnation)
{
    const int maxWaiting = std::max(0, settings.connections - settings.slots);
    const AdmissionLimits limits{
        settings.slots, settings.baseline ? baselineMaxWaiting : maxWaiting, !settings.baseline};
    return {settings.minion, settings.endpoint, incarnation, limits};
}

} // namespace

struct AgentDaemon::Impl
{
    explicit Impl(const AgentSettings &daemonSettings)
        : settings(daemonSettings)
        , incarnation(toEpochMs(SystemClock().now()))
        , relay(relayOptions(daemonSettings, incarnation), client, manifest, metrics,
                [this] { announcer->announceNow(); })
    {
        rpc.addTyped<ResolveRequest>(
            "resolve", [this](const ResolveRequest &request) { return relay.resolve(request); });
    }

    Announcement makeAnnouncement() const
    {
        Announcement announcement;
        announcement.endpoint = settings.endpoint;
        announcement.service = settings.service;
        announcement.dataCentre = settings.dataCentre;
        announcement.region = settings.region;
        announcement.rack = settings.rack;
        announcement.address = settings.listen;
        announcement.incarnation = incarnation;
        announcement.state = state.load();
        announcement.slots = settings.slots;
        announcement.running = relay.running();
        announcement.queued = relay.waiting();
        return announcement;
    }

    Status readiness() const
    {
        if (state != EndpointState::Serving)
            return makeError(ErrorKind::Draining, "this agent is draining");
        if (manifest.version() == 0)
            return makeError(ErrorKind::NotReady, "no manifest has been received yet");
        return absl::OkStatus();
    }

    HttpResponse handle(const HttpRequest &request)
    {
        if (request.path == "/rpc")
            return {200, {{"Content-Type", "application/json"}}, rpc.handle(request.body)};
        if (request.path.rfind("/relay/", 0) == 0)
            return relay.relay(request);
        if (const auto health = handleHealth(request, readiness(), metrics))
            return *health;
        return errorResponse(makeError(ErrorKind::NotFound, "no such path: " + request.path));
    }

    void tick()
    {
        relay.tick(SystemClock().now());
        metrics.setGauge("lavender_running", relay.running());
        metrics.setGauge("lavender_waiting", relay.waiting());
        metrics.setGauge("lavender_manifest_version", static_cast<double>(manifest.version()));
    }

    AgentSettings settings;
    std::int64_t incarnation;
    std::atomic<EndpointState> state{EndpointState::Serving};
    Metrics metrics;
    HttpClient client;
    ManifestHolder manifest;
    std::unique_ptr<Announcer> announcer;
    AgentRelay relay;
    RpcServer rpc;
    std::unique_ptr<PeriodicTask> tickTask;
    std::unique_ptr<HttpServer> server; // declared last: destroyed first
};

AgentDaemon::AgentDaemon(const AgentSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

AgentDaemon::~AgentDaemon()
{
    m_impl->server.reset();
    m_impl->announcer.reset();
    m_impl->tickTask.reset();
}

Status AgentDaemon::start()
{
    HttpServerOptions options;
    options.threads = m_impl->settings.threads;
    // The announcer is created before the server, whose request handlers use it. It gets its
    // entries below, when the announced address listens.
    m_impl->announcer = std::make_unique<Announcer>([this] { return m_impl->makeAnnouncement(); },
                                                    RpcChannel(m_impl->client), m_impl->manifest,
                                                    std::vector<Address>());
    auto server = HttpServer::start(
        m_impl->settings.listen, options,
        [this](const HttpRequest &request) { return m_impl->handle(request); }, &m_impl->metrics);
    if (!server.ok())
        return server.status();
    m_impl->server = *std::move(server);
    m_impl->tickTask = std::make_unique<PeriodicTask>(tickInterval, [this] { m_impl->tick(); });
    m_impl->announcer->addEntries(m_impl->settings.entries);
    return absl::OkStatus();
}

void AgentDaemon::drain()
{
    m_impl->relay.drain();
    m_impl->state = EndpointState::Draining;
    m_impl->announcer->announceNow();
    m_impl->server->disableKeepAlive();
    while (m_impl->relay.running() + m_impl->relay.waiting() > 0 ||
           m_impl->server->activeRequests() > 0)
        std::this_thread::sleep_for(drainPollInterval);
    std::this_thread::sleep_for(resolveGracePeriod);
    m_impl->state = EndpointState::Gone;
    m_impl->announcer->announceNow();
}

} // namespace lavenderarch
