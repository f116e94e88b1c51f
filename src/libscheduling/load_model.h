// In-process simulation of cells and workers under synthetic load, for policy benchmarks.
#pragma once

#include "lavenderarch/scheduling/cell_owner.h"
#include "lavenderarch/storage/memory_object_store.h"
#include "lavenderarch/storage/memory_table.h"
#include "worker_model.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace lavenderarch {

/// A simulated deployment and the arrivals of its tasks. Times are simulated time.
struct LoadModelOptions
{
    std::uint64_t seed = 1;
    std::string serviceClass = "drill-check";
    std::vector<std::string> batchClasses{"marking", "transcode", "archive"};
    Resources workerCapacity{32'000, 128'000, 0};
    int workers = 11;
    int replicas = 18;
    double tailWeight = 0.9;
    Milliseconds duration{20 * 60'000};
    double arrivalsPerSecond = 0.9; ///< batch tasks
    bool dataCentreLeaves = false;  ///< one data centre is out for the middle third of the run

    friend bool operator==(const LoadModelOptions &, const LoadModelOptions &) = default;
};

/// Measurements of one simulation run.
struct LoadModelResult
{
    double serviceP99 = 0; ///< slowdown of the services; 1: alone on a VM
    double serviceP999 = 0;
    std::int64_t batchDone = 0;
    std::int64_t evictions = 0;
    double workDoneMs = 0;    ///< batch work done, in core-milliseconds
    double workLostMs = 0;    ///< batch work repeated because it had not been saved
    double outWorkDoneMs = 0; ///< batch work done while the data centre was out
    int overCapacity = 0;

    friend bool operator==(const LoadModelResult &, const LoadModelResult &) = default;
};

/// Simulated workers, called directly: no call is lost. Reports lag by `reportLag`.
class ModelWorkers
{
public:
    static constexpr Milliseconds reportLag{2000};

    ModelWorkers(const LoadModelOptions &options, std::vector<TaskRun> &runs)
    {
        m_truth.interference = {{{options.serviceClass, options.batchClasses[0]}, 2.5},
                                {{options.serviceClass, options.batchClasses[1]}, 0.3},
                                {{options.serviceClass, options.batchClasses[2]}, 0.1},
                                {{options.batchClasses[0], options.batchClasses[0]}, 0.8},
                                {{options.batchClasses[1], options.batchClasses[0]}, 0.5}};
        m_truth.burstClass = options.batchClasses[0];
        m_truth.burstPeriod = std::chrono::minutes(4);
        m_truth.burstFactor = 2;
        m_truth.loadTime = std::chrono::seconds(3);
        const char *names[] = {"a", "b", "c"};
        for (int index = 0; index < options.workers; ++index) {
            const WorkerInfo info{WorkerId("w" + std::to_string(index)),
                                  DataCentreName(names[index % 3]), "r" + std::to_string(index / 3),
                                  options.workerCapacity};
            m_models.emplace(info.id, WorkerModel(info, m_truth, runs));
        }
    }

    void advance(TimePoint now)
    {
        m_now = now;
        for (auto &[id, model] : m_models) {
            model.advance(now);
            auto &history = m_reports[id];
            history.push_back(model.report(now));
            while (history.size() > 1 && history[1].measuredAt <= now - reportLag)
                history.erase(history.begin());
        }
    }
    std::vector<double> serviceSlowdowns() const
    {
        std::vector<double> all;
        for (const auto &[id, model] : m_models) {
            const auto some = model.serviceSlowdowns(m_now);
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }
    int overCapacity() const
    {
        int sum = 0;
        for (const auto &[id, model] : m_models)
            sum += model.overCapacity();
        return sum;
    }
    const WorkerGroundTruth &truth() const { return m_truth; }

    StatusOr<std::vector<WorkerInfo>> list(TimePoint)
    {
        std::vector<WorkerInfo> infos;
        infos.reserve(m_models.size());
        for (const auto &[id, model] : m_models)
            infos.push_back(model.info());
        return infos;
    }
    StatusOr<WorkerReport> report(const WorkerId &worker, TimePoint)
    {
        return m_reports.at(worker).front();
    }
    StatusOr<std::vector<CommandResult>> send(const WorkerId &worker,
                                              const std::vector<WorkerCommand> &commands, TimePoint)
    {
        std::vector<CommandResult> results;
        results.reserve(commands.size());
        for (const WorkerCommand &command : commands)
            results.push_back(m_models.at(worker).executeCommand(command, m_now));
        return results;
    }

private:
    WorkerGroundTruth m_truth;
    std::map<WorkerId, WorkerModel> m_models;
    std::map<WorkerId, std::vector<WorkerReport>> m_reports;
    TimePoint m_now;
};

/// Simulates three cells, one per data centre, scheduled by `Policy`.
template <SchedulingPolicy Policy>
class LoadModel
{
public:
    explicit LoadModel(const LoadModelOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_workers(options, m_runs)
    {
        const Json document = {{"deployment", "model"},
                               {"dataCentres", Json::array()},
                               {"services", Json::array()},
                               {"tailWeight", options.tailWeight}};
        m_manifest = std::make_shared<const Manifest>(*Manifest::parse(document.dump()));
        for (const char *name : {"a", "b", "c"}) {
            const DataCentreName centre(name);
            m_cells.push_back(std::make_unique<Owner>(CellId(name), centre, ProcessId("p"), m_table,
                                                      m_objects, m_workers));
        }
    }

    LoadModelResult run()
    {
        const TimePoint end = m_start + m_options.duration;
        submitServices();
        for (m_now = m_start; m_now < end; m_now += step) {
            m_workers.advance(m_now);
            changeDataCentre();
            submitBatch();
            for (std::size_t index = 0; index < m_cells.size(); ++index)
                m_cells[index]->round(environmentOf(index), m_now);
            if (m_now > m_start + warmUp) {
                const auto slowdowns = m_workers.serviceSlowdowns();
                m_slowdowns.insert(m_slowdowns.end(), slowdowns.begin(), slowdowns.end());
            }
        }
        return summarise();
    }

private:
    using Owner = CellOwner<MemoryTable, MemoryObjectStore, ModelWorkers, Policy>;
    static constexpr Milliseconds step{500};
    static constexpr Milliseconds warmUp{60'000};
    static constexpr double checkpointableShare = 0.7;

    TimePoint outFrom() const { return m_start + m_options.duration / 3; }
    TimePoint outUntil() const { return m_start + m_options.duration * 2 / 3; }

    void put(const CellId &cell, const InboxItem &item)
    {
        const TableTransaction change{
            {}, {{inboxPrefix(cell) + item.spec.job.text(), Json(item).dump()}}};
        (void)m_table.commit(change, m_now);
    }

    InboxItem makeItem(const std::string &job, const std::string &workClass, bool service)
    {
        InboxItem item;
        item.spec.job = JobKey(job);
        item.spec.customer = CustomerName(workClass);
        item.spec.workClass = workClass;
        item.spec.service = service;
        item.spec.checkpointable = true;
        item.taskCount = 1;
        item.acceptedAt = m_now;
        return item;
    }

    void submitServices()
    {
        m_now = m_start;
        for (int replica = 0; replica < m_options.replicas; ++replica) {
            InboxItem item =
                makeItem("service-" + std::to_string(replica), m_options.serviceClass, true);
            item.spec.resources = Resources(m_options.workerCapacity.milliCores() / 16,
                                            m_options.workerCapacity.memoryMib() / 32, 0);
            put(CellId(std::string(1, static_cast<char>('a' + replica % 3))), item);
        }
    }

    void submitBatch()
    {
        std::poisson_distribution<int> arrivals(m_options.arrivalsPerSecond * step.count() / 1000);
        const int count = arrivals(m_random);
        for (int index = 0; index < count; ++index) {
            const auto kind = std::uniform_int_distribution<std::size_t>(0, 2)(m_random);
            InboxItem item = makeItem("batch-" + std::to_string(m_batchNumber++),
                                      m_options.batchClasses[kind], false);
            const auto cores = std::uniform_int_distribution<std::int64_t>(8, 32)(m_random);
            item.spec.resources = Resources(m_options.workerCapacity.milliCores() / cores,
                                            m_options.workerCapacity.memoryMib() / 64, 0);
            item.spec.checkpointable =
                std::uniform_real_distribution<double>(0, 1)(m_random) < checkpointableShare;
            item.spec.durationMs =
                std::uniform_int_distribution<std::int64_t>(20'000, 90'000)(m_random);
            const auto cell = std::uniform_int_distribution<int>(0, 2)(m_random);
            const bool out = m_dataCentreOut && cell == 2;
            put(CellId(std::string(1, static_cast<char>('a' + (out ? 0 : cell)))), item);
        }
    }

    void changeDataCentre()
    {
        if (!m_options.dataCentreLeaves)
            return;
        const bool shouldBeOut = m_now >= outFrom() && m_now < outUntil();
        if (shouldBeOut == m_dataCentreOut)
            return;
        DataCentreStore<MemoryTable> store(m_table);
        const auto changed =
            store.change(DataCentreName("c"), shouldBeOut, {"model", "benchmark", m_now},
                         SystemClock().now() + std::chrono::seconds(5));
        m_dataCentreOut = changed.ok() ? shouldBeOut : m_dataCentreOut;
    }

    CellEnvironment environmentOf(std::size_t index)
    {
        CellEnvironment result;
        result.manifest = m_manifest;
        result.cells = 1;
        const auto infos = m_workers.list(m_now);
        const char name = static_cast<char>('a' + index);
        std::copy_if(infos->begin(), infos->end(), std::back_inserter(result.workers),
                     [&](const WorkerInfo &info) { return info.dataCentre.text()[0] == name; });
        std::vector<std::pair<std::int64_t, CellId>> targets;
        targets.reserve(m_cells.size());
        for (std::size_t other = 0; other < m_cells.size(); ++other) {
            if (other == index || (m_dataCentreOut && other == 2) || !m_cells[other]->isOwner())
                continue;
            const CellHead &head = m_cells[other]->head();
            targets.emplace_back(2000 * std::int64_t{head.queued} - head.freeMilliCores, head.cell);
        }
        std::sort(targets.begin(), targets.end());
        for (const auto &[cost, cell] : targets)
            result.transferTargets.push_back(cell);
        return result;
    }

    static double percentile(std::vector<double> &samples, double quantile)
    {
        if (samples.empty())
            return 0;
        const auto rank =
            static_cast<std::size_t>(quantile * static_cast<double>(samples.size() - 1));
        std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank),
                         samples.end());
        return samples[rank];
    }

    /// Share of the interval during which the data centre was out.
    double shareWhileOut(TimePoint from, TimePoint until) const
    {
        const auto inside = std::min(until, outUntil()) - std::max(from, outFrom());
        const double length =
            static_cast<double>(std::max<std::int64_t>(1, (until - from).count()));
        return std::max(0.0, static_cast<double>(inside.count()) / length);
    }

    LoadModelResult summarise()
    {
        LoadModelResult result;
        result.serviceP99 = percentile(m_slowdowns, 0.99);
        result.serviceP999 = percentile(m_slowdowns, 0.999);
        result.overCapacity = m_workers.overCapacity();
        for (const auto &cell : m_cells)
            result.evictions += cell->scheduler().counters().evictions;
        std::map<TaskId, double> bestProgress;
        for (const TaskRun &run : m_runs) {
            if (run.task.text().rfind("batch-", 0) != 0)
                continue;
            const TimePoint ended = run.endedAt == TimePoint() ? m_now : run.endedAt;
            const double worked = std::max(0.0, run.endProgress - run.startProgress);
            double &best = bestProgress[run.task];
            result.workLostMs += std::max(0.0, best - run.startProgress) * run.workMs;
            best = std::max(best, run.endProgress);
            result.workDoneMs += worked * run.workMs;
            result.batchDone += run.end == TaskRunState::Done ? 1 : 0;
            result.outWorkDoneMs += worked * run.workMs * shareWhileOut(run.startedAt, ended);
        }
        return result;
    }

    LoadModelOptions m_options;
    RandomEngine m_random;
    std::vector<TaskRun> m_runs;
    MemoryTable m_table;
    MemoryObjectStore m_objects;
    ModelWorkers m_workers;
    std::shared_ptr<const Manifest> m_manifest;
    std::vector<std::unique_ptr<Owner>> m_cells;
    std::vector<double> m_slowdowns;
    TimePoint m_start = fromEpochMs(1'000'000'000'000);
    TimePoint m_now;
    int m_batchNumber = 0;
    bool m_dataCentreOut = false;
};

} // namespace lavenderarch
