// lavender-standin: simulates the store, minions and workers in one process for tests and demo.
#include "execution_log.h"
#include "lavenderarch/api/daemon_main.h"
#include "lavenderarch/config/schema_check.h"
#include "lavenderarch/http/http_server.h"
#include "simulated_minion.h"
#include "simulated_store.h"
#include "simulated_workers.h"

#include <thread>

namespace lavenderarch {
namespace {

class Standin
{
public:
    explicit Standin(const StandinSettings &settings)
        : m_settings(settings)
        , m_workers(settings.workers)
    {
    }

    Status start()
    {
        for (const MinionSettings &minion : m_settings.minions) {
            m_minions.push_back(std::make_unique<SimulatedMinion>(minion, m_log));
            Status started = m_minions.back()->start();
            if (!started.ok())
                return started;
        }
        auto server =
            HttpServer::start(m_settings.listen, HttpServerOptions(),
                              [this](const HttpRequest &request) { return handle(request); });
        if (!server.ok())
            return server.status();
        m_server = *std::move(server);
        return absl::OkStatus();
    }

    /// Stops all servers in parallel, because each stop waits until idle connections have closed.
    void drain()
    {
        std::vector<std::thread> stops;
        for (auto &minion : m_minions)
            stops.emplace_back([&minion] { minion.reset(); });
        m_server.reset();
        for (std::thread &stop : stops)
            stop.join();
    }

private:
    HttpResponse handle(const HttpRequest &request)
    {
        if (request.path.rfind("/v1/table/", 0) == 0)
            return m_store.handleTable(request);
        if (request.path.rfind("/v1/objects/", 0) == 0)
            return m_store.handleObject(request);
        if (request.path.rfind("/v1/workers", 0) == 0)
            return m_workers.handle(request);
        if (request.path.rfind("/control/", 0) == 0)
            return control(request);
        return errorResponse(makeError(ErrorKind::NotFound, "no such path: " + request.path));
    }

    HttpResponse control(const HttpRequest &request)
    {
        if (request.path == "/control/executions")
            return jsonResponse(200, m_log.all());
        if (request.path == "/control/runs")
            return jsonResponse(200, m_workers.history());
        if (request.path == "/control/counters")
            return counters();
        const auto body = parseJson(request.body, "faults");
        if (!body.ok())
            return errorResponse(body.status());
        if (request.path == "/control/store")
            return m_store.setFaults(*body);
        if (request.path == "/control/worker") {
            m_workers.setFaults(WorkerId(body->value("worker", "")), *body);
            return jsonResponse(200, Json::object());
        }
        if (request.path != "/control/minion")
            return errorResponse(makeError(ErrorKind::NotFound, request.path));
        for (const auto &minion : m_minions) {
            if (minion->name() == body->value("minion", ""))
                minion->setFaults(*body);
        }
        return jsonResponse(200, Json::object());
    }

    HttpResponse counters()
    {
        Json minions = Json::array();
        for (const auto &minion : m_minions)
            minions.push_back(minion->counters());
        return jsonResponse(200, {{"store", m_store.counters()},
                                  {"minions", minions},
                                  {"workers", m_workers.counters()}});
    }

    StandinSettings m_settings;
    ExecutionLog m_log;
    SimulatedStore m_store;
    SimulatedWorkers m_workers;
    std::vector<std::unique_ptr<SimulatedMinion>> m_minions;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace
} // namespace lavenderarch

int main(int argc, char **argv)
{
    using namespace lavenderarch;
    return runDaemon<Standin, StandinSettings>(argc, argv, "lavender-standin", standinSchemaText);
}
