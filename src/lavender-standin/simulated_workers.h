// Simulated workers behind an HTTP interface.
#pragma once

#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"
#include "standin_settings.h"
#include "worker_model.h"

#include <map>
#include <mutex>

namespace lavenderarch {

/// Thread-safe. Faults per worker: dead (connections are dropped and running tasks are lost),
/// failAll (all tasks fail).
class SimulatedWorkers
{
public:
    explicit SimulatedWorkers(const std::vector<SimulatedWorkerSettings> &settings);

    HttpResponse handle(const HttpRequest &request);
    void setFaults(const WorkerId &worker, const Json &body);
    /// All task runs up to now.
    Json history();
    Json counters();

private:
    struct Worker
    {
        WorkerModel model;
        bool dead = false;
    };

    HttpResponse list();
    static HttpResponse commands(Worker &worker, const HttpRequest &request, TimePoint now);

    std::mutex m_mutex;
    WorkerGroundTruth m_truth;
    std::vector<TaskRun> m_runs;          // guarded by m_mutex
    std::map<WorkerId, Worker> m_workers; // guarded by m_mutex
};

} // namespace lavenderarch
