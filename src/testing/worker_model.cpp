// Lease protocol, progress and interference of a simulated worker.
#include "worker_model.h"

#include <algorithm>

namespace lavenderarch {
namespace {

Resources scaled(const Resources &resources, double factor)
{
    return {static_cast<std::int64_t>(static_cast<double>(resources.milliCores()) * factor),
            static_cast<std::int64_t>(static_cast<double>(resources.memoryMib()) * factor),
            resources.accelerators()};
}

} // namespace

double WorkerModel::coreShare(const RunningTask &task) const
{
    const double used = static_cast<double>(task.command.declared.milliCores());
    const double capacity = static_cast<double>(m_info.capacity.milliCores());
    return used * task.sizeFactor * task.command.throttle / capacity;
}

double WorkerModel::slowdown(const RunningTask &task, TimePoint now) const
{
    double total = 0;
    double interference = 0;
    for (const auto &[id, other] : m_running) {
        const double share = coreShare(other);
        total += share;
        if (id != task.command.task)
            interference +=
                share * m_truth.coefficient(task.command.workClass, other.command.workClass, now);
    }
    return (1 + interference) * std::max(1.0, total);
}

void WorkerModel::advance(TimePoint now)
{
    std::vector<std::pair<TaskId, TaskRunState>> ending;
    std::vector<double> slowdowns;
    for (const auto &[id, task] : m_running)
        slowdowns.push_back(slowdown(task, now));
    std::size_t index = 0;
    for (auto &[id, task] : m_running) {
        const double slow = slowdowns[index++];
        const TimePoint until = std::min(now, task.command.leaseDeadline);
        const double elapsed = std::max(0.0, static_cast<double>((until - task.updatedAt).count()));
        task.updatedAt = std::max(task.updatedAt, until);
        const double workMs = static_cast<double>(task.command.durationMs) * task.timeFactor;
        const bool loading = now < task.loadedAt;
        if (task.command.durationMs > 0 && !loading)
            task.progress += elapsed * task.command.throttle / (workMs * slow);
        if (m_failAll)
            ending.emplace_back(id, TaskRunState::Failed);
        else if (task.command.durationMs > 0 && task.progress >= 1)
            ending.emplace_back(id, TaskRunState::Done);
        else if (now >= task.command.leaseDeadline)
            ending.emplace_back(id, TaskRunState::Stopped);
    }
    for (const auto &[id, state] : ending)
        end(id, state, 0, now);
}

void WorkerModel::end(const TaskId &id, TaskRunState state, double checkpoint, TimePoint at)
{
    const auto found = m_running.find(id);
    TaskReport report = makeReport(found->second, at);
    report.state = state;
    report.checkpoint = checkpoint;
    TaskRun &run = m_runs[found->second.run];
    run.endedAt = std::min(at, found->second.command.leaseDeadline);
    run.end = state;
    run.endProgress = found->second.progress;
    m_running.erase(found);
    m_ended[id] = report;
}

CommandResult WorkerModel::executeCommand(const WorkerCommand &command, TimePoint now)
{
    FencingToken &latest = m_latestTokens[command.task];
    const FencingToken token(command.epoch, command.incarnation);
    if (command.incarnation < latest.second || command.epoch < latest.first)
        return {command.task, false, "stale epoch or incarnation"};
    const bool sameIncarnation = latest.second == command.incarnation;
    latest = token;
    const auto found = m_running.find(command.task);
    const bool running =
        found != m_running.end() && found->second.command.incarnation == command.incarnation;
    switch (command.kind) {
    case WorkerCommandKind::Start:
        if (running || (sameIncarnation && m_ended.count(command.task) != 0))
            return {command.task, true, ""};
        return start(command, now);
    case WorkerCommandKind::Stop:
        if (running)
            end(command.task, TaskRunState::Stopped, 0, now);
        break;
    case WorkerCommandKind::Checkpoint:
        if (running)
            end(command.task, TaskRunState::Stopped, found->second.progress, now);
        break;
    case WorkerCommandKind::Throttle:
        if (running)
            found->second.command.throttle = command.throttle;
        break;
    case WorkerCommandKind::Renew:
        if (!running)
            return {command.task, false, "the task does not run here"};
        found->second.command.leaseDeadline =
            std::max(found->second.command.leaseDeadline, command.leaseDeadline);
        break;
    }
    return {command.task, true, ""};
}

CommandResult WorkerModel::start(const WorkerCommand &command, TimePoint now)
{
    if (now > command.startBy || now >= command.leaseDeadline)
        return {command.task, false, "the start-by deadline has passed"};
    m_ended.erase(command.task);
    Resources used = command.resources;
    for (const auto &[id, task] : m_running)
        used = used + task.command.resources;
    if (!used.fitsInto(m_info.capacity))
        ++m_overCapacity;
    RunningTask task;
    task.command = command;
    task.updatedAt = now;
    task.loadedAt = now + m_truth.loadTime;
    task.progress = command.progress;
    task.sizeFactor = m_truth.sizeFactor(command);
    task.timeFactor = m_truth.timeFactor(command);
    task.run = m_runs.size();
    TaskRun run;
    run.task = command.task;
    run.incarnation = command.incarnation;
    run.worker = m_info.id;
    run.dataCentre = m_info.dataCentre;
    run.startedAt = now;
    run.startProgress = command.progress;
    run.endProgress = command.progress;
    run.workMs = static_cast<double>(command.durationMs) * task.timeFactor *
                 static_cast<double>(command.declared.milliCores()) * task.sizeFactor / 1000;
    m_runs.push_back(run);
    m_running[command.task] = task;
    return {command.task, true, ""};
}

TaskReport WorkerModel::makeReport(const RunningTask &task, TimePoint now) const
{
    TaskReport report;
    report.task = task.command.task;
    report.incarnation = task.command.incarnation;
    report.usage = scaled(task.command.declared, task.sizeFactor * task.command.throttle);
    report.progress = std::min(1.0, task.progress);
    report.slowdown = slowdown(task, now);
    return report;
}

WorkerReport WorkerModel::report(TimePoint now) const
{
    WorkerReport report{m_info.id, now, {}};
    for (const auto &[id, task] : m_running)
        report.tasks.push_back(makeReport(task, now));
    for (const auto &[id, ended] : m_ended)
        report.tasks.push_back(ended);
    return report;
}

void WorkerModel::crash(TimePoint now)
{
    for (const auto &[id, task] : m_running) {
        m_runs[task.run].endedAt = std::min(now, task.command.leaseDeadline);
        m_runs[task.run].end = TaskRunState::Failed;
        m_runs[task.run].endProgress = task.progress;
    }
    m_running.clear();
    m_ended.clear();
    m_latestTokens.clear();
}

std::vector<double> WorkerModel::serviceSlowdowns(TimePoint now) const
{
    std::vector<double> slowdowns;
    for (const auto &[id, task] : m_running) {
        if (task.command.latencyCritical)
            slowdowns.push_back(slowdown(task, now));
    }
    return slowdowns;
}

} // namespace lavenderarch
