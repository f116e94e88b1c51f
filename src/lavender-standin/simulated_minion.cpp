// HTTP server of a simulated minion and its fault injection.
#include "simulated_minion.h"

#include "lavenderarch/core/clock.h"
#include "lavenderarch/http/header_names.h"

#include <thread>

namespace lavenderarch {
namespace {

constexpr int percent = 100;

int intParameter(const HttpRequest &request, std::string_view name, int fallback)
{
    const std::string text = queryParameter(request, name);
    return text.empty() ? fallback : std::atoi(text.c_str());
}

} // namespace

SimulatedMinion::SimulatedMinion(const MinionSettings &settings, ExecutionLog &log)
    : m_settings(settings)
    , m_log(log)
{
}

Status SimulatedMinion::start()
{
    HttpServerOptions options;
    options.threads = m_settings.connections;
    auto server = HttpServer::start(m_settings.listen, options,
                                    [this](const HttpRequest &request) { return serve(request); });
    if (!server.ok())
        return server.status();
    m_server = *std::move(server);
    return absl::OkStatus();
}

HttpResponse SimulatedMinion::serve(const HttpRequest &request)
{
    const int running = ++m_running;
    int highest = m_mostRunning;
    while (running > highest && !m_mostRunning.compare_exchange_weak(highest, running)) {
    }
    if (running > m_settings.slots)
        ++m_overSlots;
    ++m_served;
    const std::string id = request.headers.find(header::requestId).value_or("");
    const std::string key = request.headers.find(header::idempotencyKey).value_or("");
    const std::string deadline = request.headers.find(header::deadline).value_or("0");
    const std::size_t execution =
        m_log.begin({id, key, m_settings.name, request.path, SystemClock().now(), TimePoint(),
                     fromEpochMs(std::atoll(deadline.c_str()))});
    const int workMs = intParameter(request, "ms", 2) * m_slowPercent / percent;
    std::this_thread::sleep_for(Milliseconds(workMs));
    m_log.end(execution, SystemClock().now());
    --m_running;
    if (m_dead)
        return {dropConnectionStatus, {}, ""};
    Json body{{"minion", m_settings.name}, {"request", id}, {"echo", request.body}};
    const int bytes = intParameter(request, "bytes", 0);
    if (bytes > 0)
        body["filler"] = std::string(static_cast<std::size_t>(bytes), 'x');
    HttpResponse response = jsonResponse(200, body);
    if (m_truncate)
        response.headers.set("Content-Length", std::to_string(response.body.size() + 1));
    return response;
}

void SimulatedMinion::setFaults(const Json &body)
{
    m_slowPercent = static_cast<int>(body.value("slowFactor", m_slowPercent / 100.0) * percent);
    m_truncate = body.value("truncate", m_truncate.load());
    m_dead = body.value("dead", m_dead.load());
}

Json SimulatedMinion::counters() const
{
    return {{"minion", m_settings.name},
            {"served", m_served.load()},
            {"mostRunning", m_mostRunning.load()},
            {"overSlots", m_overSlots.load()}};
}

} // namespace lavenderarch
