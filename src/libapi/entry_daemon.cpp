// Creates and connects the components of an entry.
#include "lavenderarch/api/entry_daemon.h"

#include "lavenderarch/api/cell_manager.h"
#include "lavenderarch/api/config_watcher.h"
#include "lavenderarch/api/health_endpoints.h"
#include "lavenderarch/api/job_api.h"
#include "lavenderarch/api/operator_api.h"
#include "lavenderarch/api/peer_group.h"
#include "lavenderarch/api/periodic_task.h"
#include "lavenderarch/api/request_gateway.h"
#include "lavenderarch/core/clock.h"
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/http/http_server.h"
#include "lavenderarch/protocol/announce_reply.h"
#include "lavenderarch/protocol/announce_request.h"
#include "lavenderarch/protocol/rpc_server.h"
#include "lavenderarch/telemetry/log.h"

#include <atomic>
#include <thread>

namespace lavenderarch {
namespace {

constexpr Milliseconds configInterval{400};
constexpr Milliseconds peerInterval{400};
/// A draining entry accepts requests for this long, until the load balancer has seen /readyz fail.
constexpr Milliseconds loadBalancerDelay{1000};
constexpr Milliseconds drainPollInterval{10};

RandomEngine makeEngine(std::uint64_t seed)
{
    return seed == 0 ? makeEntropyEngine() : RandomEngine(seed);
}

} // namespace

struct EntryDaemon::Impl
{
    explicit Impl(const EntrySettings &daemonSettings)
        : settings(daemonSettings)
        , table(client, daemonSettings.store)
        , objects(client, daemonSettings.store)
        , workers(client, daemonSettings.store)
        , directory({daemonSettings.dataCentre, daemonSettings.region, {}, {}},
                    makeEngine(daemonSettings.seed), daemonSettings.baseline)
        , peers(daemonSettings.listen, daemonSettings.peers, RpcChannel(client), manifest,
                directory)
        , config(table, manifest, [this] { peers.exchangeWithAll(); })
        , sender(client, directory, metrics)
        , gateway(table, sender, directory, config, manifest, metrics)
        , operators(table, manifest, config, directory)
        , cells({table, objects, workers, manifest, peers, metrics},
                ProcessId(daemonSettings.id.text() + "-" + makeUniqueId().substr(0, 8)),
                daemonSettings.listen, daemonSettings.ownsCells)
        , jobs(table, cells, manifest)
    {
        rpc.addTyped<AnnounceRequest>(
            "announce", [this](const AnnounceRequest &request) { return announce(request); });
        rpc.addTyped<PeerExchange>(
            "exchange", [this](const PeerExchange &message) { return peers.handle(message); });
    }

    StatusOr<AnnounceReply> announce(const AnnounceRequest &request)
    {
        const Announcement &announcement = request.announcement;
        directory.apply(announcement, SystemClock().now());
        const auto adopted = manifest.adoptStored(request.manifest);
        if (!adopted.ok())
            return adopted.status();
        const auto current = manifest.current();
        AnnounceReply reply;
        reply.manifestVersion = current->version();
        reply.wantsManifest = announcement.manifestVersion > current->version();
        if (announcement.manifestVersion < current->version())
            reply.manifest = current->stored();
        reply.entries = peers.entries();
        return reply;
    }

    Status readiness() const
    {
        if (draining)
            return makeError(ErrorKind::Draining, "this entry is draining");
        if (manifest.version() == 0)
            return makeError(ErrorKind::NotReady, "no manifest has been accepted yet");
        return absl::OkStatus();
    }

    HttpResponse handle(const HttpRequest &request)
    {
        if (request.path == "/rpc")
            return {200, {{"Content-Type", "application/json"}}, rpc.handle(request.body)};
        if (const auto health = handleHealth(request, readiness(), metrics))
            return *health;
        if (refusing)
            return errorResponse(makeError(ErrorKind::Draining, "this entry is draining"));
        if (request.path.rfind("/v1/services/", 0) == 0)
            return gateway.handle(request);
        if (auto response = operators.handle(request))
            return *std::move(response);
        if (auto response = jobs.handle(request))
            return *std::move(response);
        return errorResponse(makeError(ErrorKind::NotFound, "no such path: " + request.path));
    }

    void refreshConfig()
    {
        config.refresh();
        directory.setExcludedDataCentres(config.dataCentresOut());
        cells.setDataCentresOut(config.dataCentresOut());
        directory.expire(SystemClock().now());
        metrics.setGauge("lavender_manifest_version", static_cast<double>(manifest.version()));
        metrics.setGauge("lavender_store_up", config.storeIsUp() ? 1 : 0);
        metrics.setGauge("lavender_endpoints", static_cast<double>(directory.all().size()));
    }

    EntrySettings settings;
    Metrics metrics;
    HttpClient client;
    HttpTable table;
    HttpObjectStore objects;
    HttpWorkers workers;
    ManifestHolder manifest;
    EndpointDirectory directory;
    PeerGroup peers;
    ConfigWatcher config;
    AttemptSender sender;
    RequestGateway gateway;
    OperatorApi operators;
    CellManager cells;
    JobApi jobs;
    RpcServer rpc;
    std::atomic<bool> draining{false}; // /readyz fails; requests are still served
    std::atomic<bool> refusing{false}; // new requests fail with Draining: not run
    std::unique_ptr<PeriodicTask> configTask;
    std::unique_ptr<PeriodicTask> peerTask;
    std::unique_ptr<HttpServer> server; // declared last: destroyed first
};

EntryDaemon::EntryDaemon(const EntrySettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

EntryDaemon::~EntryDaemon()
{
    m_impl->server.reset();
    m_impl->peerTask.reset();
    m_impl->configTask.reset();
}

Status EntryDaemon::start()
{
    HttpServerOptions options;
    options.threads = m_impl->settings.threads;
    options.maxBodyBytes = m_impl->settings.maxBodyBytes;
    options.bodyMemoryBytes = m_impl->settings.bodyMemoryBytes;
    m_impl->configTask =
        std::make_unique<PeriodicTask>(configInterval, [this] { m_impl->refreshConfig(); });
    m_impl->peerTask =
        std::make_unique<PeriodicTask>(peerInterval, [this] { m_impl->peers.exchangeWithAll(); });
    auto server = HttpServer::start(
        m_impl->settings.listen, options,
        [this](const HttpRequest &request) { return m_impl->handle(request); }, &m_impl->metrics);
    if (!server.ok())
        return server.status();
    m_impl->server = *std::move(server);
    return absl::OkStatus();
}

void EntryDaemon::drain()
{
    m_impl->draining = true;
    m_impl->server->disableKeepAlive();
    m_impl->cells.release();
    std::this_thread::sleep_for(loadBalancerDelay);
    m_impl->refusing = true;
    while (m_impl->server->activeRequests() > 0)
        std::this_thread::sleep_for(drainPollInterval);
    std::this_thread::sleep_for(drainPollInterval);
}

} // namespace lavenderarch
