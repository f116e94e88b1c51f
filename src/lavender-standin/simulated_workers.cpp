// HTTP interface and fault injection of the simulated workers.
#include "simulated_workers.h"

#include "lavenderarch/core/clock.h"

namespace lavenderarch {
namespace {

constexpr std::string_view workersPath = "/v1/workers/";

} // namespace

SimulatedWorkers::SimulatedWorkers(const std::vector<SimulatedWorkerSettings> &settings)
{
    m_truth.interference = {{{"drill-check", "marking"}, 1.0}, {{"proof", "print"}, 1.0}};
    for (const SimulatedWorkerSettings &worker : settings) {
        const WorkerInfo info{worker.id, worker.dataCentre, worker.rack,
                              Resources(worker.milliCores, worker.memoryMib, worker.accelerators)};
        m_workers.emplace(worker.id, Worker{WorkerModel(info, m_truth, m_runs), false});
    }
}

HttpResponse SimulatedWorkers::handle(const HttpRequest &request)
{
    const std::scoped_lock lock(m_mutex);
    if (request.path == "/v1/workers")
        return list();
    const std::string rest = request.path.substr(workersPath.size());
    const auto slash = rest.find('/');
    const auto found = m_workers.find(WorkerId(rest.substr(0, slash)));
    if (found == m_workers.end() || slash == std::string::npos)
        return errorResponse(makeError(ErrorKind::NotFound, "no worker in " + request.path));
    Worker &worker = found->second;
    if (worker.dead)
        return {dropConnectionStatus, {}, ""};
    const TimePoint now = SystemClock().now();
    worker.model.advance(now);
    if (rest.substr(slash) == "/commands")
        return commands(worker, request, now);
    return jsonResponse(200, worker.model.report(now));
}

HttpResponse SimulatedWorkers::list()
{
    Json workers = Json::array();
    for (const auto &[id, worker] : m_workers)
        workers.push_back(worker.model.info());
    return jsonResponse(200, workers);
}

HttpResponse SimulatedWorkers::commands(Worker &worker, const HttpRequest &request, TimePoint now)
{
    const auto body = parseJson(request.body, "commands");
    if (!body.ok())
        return errorResponse(body.status());
    const auto parsed = fromJson<std::vector<WorkerCommand>>(*body, "commands");
    if (!parsed.ok())
        return errorResponse(parsed.status());
    std::vector<CommandResult> results;
    for (const WorkerCommand &command : *parsed)
        results.push_back(worker.model.executeCommand(command, now));
    return jsonResponse(200, results);
}

void SimulatedWorkers::setFaults(const WorkerId &id, const Json &body)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    if (body.contains("failAll"))
        worker.model.setFailAll(body["failAll"].get<bool>());
    const bool dead = body.value("dead", worker.dead);
    if (dead && !worker.dead)
        worker.model.crash(SystemClock().now());
    worker.dead = dead;
}

Json SimulatedWorkers::history()
{
    const std::scoped_lock lock(m_mutex);
    for (auto &[id, worker] : m_workers)
        worker.model.advance(SystemClock().now());
    return m_runs;
}

Json SimulatedWorkers::counters()
{
    const std::scoped_lock lock(m_mutex);
    int overCapacity = 0;
    for (const auto &[id, worker] : m_workers)
        overCapacity += worker.model.overCapacity();
    return {{"runs", m_runs.size()}, {"overCapacity", overCapacity}};
}

} // namespace lavenderarch
