// Simulated minion with configurable faults.
#pragma once

#include "execution_log.h"
#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"
#include "lavenderarch/http/http_server.h"
#include "standin_settings.h"

#include <atomic>

namespace lavenderarch {

/// HTTP server that sleeps for the requested service time and counts concurrent requests.
/// Thread-safe. Query parameters of a request: ms (service time), bytes (size of the padding added
/// to the response). Faults: slowFactor (multiplies service times), truncate (responses end before
/// their Content-Length), dead (drops the connection after the work is done).
class SimulatedMinion
{
public:
    SimulatedMinion(const MinionSettings &settings, ExecutionLog &log);

    Status start();
    /// Sets the faults named in `body`; the others keep their values.
    void setFaults(const Json &body);
    /// Number of requests served, most requests running at once, and number of requests that
    /// started when all slots were in use.
    Json counters() const;
    const std::string &name() const { return m_settings.name; }

private:
    HttpResponse serve(const HttpRequest &request);

    MinionSettings m_settings;
    ExecutionLog &m_log;
    std::atomic<int> m_running{0};
    std::atomic<int> m_mostRunning{0};
    std::atomic<int> m_overSlots{0};
    std::atomic<std::int64_t> m_served{0};
    std::atomic<int> m_slowPercent{100};
    std::atomic<bool> m_truncate{false};
    std::atomic<bool> m_dead{false};
    std::unique_ptr<HttpServer> m_server;
};

} // namespace lavenderarch
