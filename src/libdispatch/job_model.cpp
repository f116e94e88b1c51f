// State of one job and its serialized form.
#include "lavenderarch/dispatch/job_model.h"

#include "lavenderarch/core/json_text.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// A done task is stored as 1, a task that has never run as 0, and any other as an array. Placed
/// and Stopping are stored alike, and a task in Stopping is loaded as Placed.
void appendTask(std::string &out, const TaskState &task)
{
    if (task.phase == TaskPhase::Done || task.run == 0) {
        out += task.phase == TaskPhase::Done ? "1" : "0";
        return;
    }
    out += task.active() ? "[1," : "[0,";
    out.append(std::to_string(task.run)).append(",").append(std::to_string(task.failures));
    out += ",";
    appendQuoted(out, task.checkpoint);
    if (task.active()) {
        out += ",";
        appendQuoted(out, task.agent);
        out += ",";
        appendQuoted(out, task.incarnation.id);
        out.append(",").append(std::to_string(task.incarnation.bornMs));
    }
    out += "]";
}

/// Appends `items` as a JSON array; `append` writes one item.
template <typename Items, typename Append>
void appendArray(std::string &out, const Items &items, Append append)
{
    out += "[";
    for (const auto &item : items) {
        if (out.back() != '[')
            out += ",";
        append(item);
    }
    out += "]";
}

TaskState taskFromJson(const Json &stored)
{
    TaskState task;
    if (stored.is_number()) {
        task.phase = stored.get<int>() == 1 ? TaskPhase::Done : TaskPhase::Waiting;
        return task;
    }
    task.phase = stored.at(0).get<int>() == 1 ? TaskPhase::Placed : TaskPhase::Waiting;
    task.run = stored.at(1).get<int>();
    task.failures = stored.at(2).get<int>();
    task.checkpoint = stored.at(3).get<std::string>();
    if (task.active()) {
        task.agent = stored.at(4).get<std::string>();
        task.incarnation = {stored.at(5).get<std::string>(), stored.at(6).get<std::int64_t>()};
    }
    return task;
}

JobModel::Occurrence emptyOccurrence(const JobSpec &spec)
{
    JobModel::Occurrence occurrence;
    for (const StepSpec &step : spec.steps)
        occurrence.emplace_back(static_cast<std::size_t>(step.count));
    return occurrence;
}

bool allDone(const std::vector<TaskState> &tasks)
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const TaskState &task) { return task.phase == TaskPhase::Done; });
}

} // namespace

JobModel::JobModel(JobSpec spec)
    : m_spec(std::move(spec))
{
    if (m_spec.occurrences == 0)
        m_occurrences.emplace(0, emptyOccurrence(m_spec));
    refresh();
}

bool JobModel::addDueOccurrences(std::int64_t timeOfDayMs)
{
    bool added = false;
    for (int number = 0; number < m_spec.occurrences; ++number) {
        const std::int64_t due = m_spec.firstDueMs + number * m_spec.intervalMs;
        if (due > timeOfDayMs)
            break;
        added = m_occurrences.try_emplace(number, emptyOccurrence(m_spec)).second || added;
    }
    return added;
}

const StepSpec &JobModel::step(const TaskName &task) const
{
    return m_spec.steps[static_cast<std::size_t>(task.step)];
}

TaskState *JobModel::find(const TaskName &name)
{
    const auto occurrence = m_occurrences.find(name.occurrence);
    if (occurrence == m_occurrences.end() || name.step < 0 || name.index < 0)
        return nullptr;
    const auto step = static_cast<std::size_t>(name.step);
    const auto index = static_cast<std::size_t>(name.index);
    if (step >= occurrence->second.size() || index >= occurrence->second[step].size())
        return nullptr;
    return &occurrence->second[step][index];
}

TaskName JobModel::name(int occurrence, int step, int index) const
{
    return {m_spec.id, occurrence, step, index};
}

bool JobModel::isReady(const Occurrence &occurrence, std::size_t step) const
{
    const auto &after = m_spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](int before) {
        return allDone(occurrence[static_cast<std::size_t>(before)]);
    });
}

bool JobModel::begin()
{
    if (m_phase != JobPhase::Queued)
        return false;
    m_phase = JobPhase::Running;
    return true;
}

void JobModel::refresh()
{
    m_active = 0;
    m_remainingWork = 0;
    bool begun = false;
    bool done = static_cast<int>(m_occurrences.size()) >= std::max(m_spec.occurrences, 1);
    for (const auto &[number, occurrence] : m_occurrences) {
        for (std::size_t step = 0; step < occurrence.size(); ++step) {
            const StepSpec &spec = m_spec.steps[step];
            const std::int64_t work =
                spec.longRunning ? 0 : spec.demand.milliCores() * spec.estimateMs;
            for (const TaskState &task : occurrence[step]) {
                m_remainingWork += task.phase == TaskPhase::Done ? 0 : work;
                m_active += task.active() ? 1 : 0;
                begun = begun || task.failures > 0 || task.phase == TaskPhase::Done;
                done = done && task.phase == TaskPhase::Done;
            }
        }
    }
    refreshWaitingSteps();
    if (isFinal(m_phase))
        return;
    if (done)
        m_phase = JobPhase::Done;
    else if (m_cancelled)
        m_phase = JobPhase::Cancelled;
    else if (begun)
        m_phase = JobPhase::Running;
}

void JobModel::refreshWaitingSteps()
{
    m_waitingSteps.clear();
    for (const auto &[number, occurrence] : m_occurrences) {
        for (std::size_t step = 0; step < occurrence.size(); ++step) {
            const bool waiting =
                std::any_of(occurrence[step].begin(), occurrence[step].end(),
                            [](const TaskState &task) { return task.phase == TaskPhase::Waiting; });
            if (waiting && isReady(occurrence, step))
                m_waitingSteps.push_back({number, step});
        }
    }
}

const StepSpec &stepOf(const JobModel &job, const RunKey &run)
{
    return job.step(*TaskName::parse(run.task));
}

std::string JobModel::progressText() const
{
    std::string text = "{\"phase\":" + jsonText(m_phase);
    if (!settled()) {
        text += ",\"tasks\":{";
        for (const auto &[number, occurrence] : m_occurrences) {
            text += text.back() == '{' ? "\"" : ",\"";
            text.append(std::to_string(number)).append("\":");
            appendArray(text, occurrence, [&](const std::vector<TaskState> &tasks) {
                appendArray(text, tasks, [&](const TaskState &task) { appendTask(text, task); });
            });
        }
        text += "}";
    }
    return text + "}";
}

bool JobModel::isSettled(const std::string &text)
{
    const auto stored = parseJson(text, "progress");
    return stored.ok() && stored->is_object() && stored->contains("phase") &&
           stored->at("phase").is_string() && !stored->contains("tasks") &&
           isFinal(stored->at("phase").get<JobPhase>());
}

Status JobModel::loadProgress(const std::string &text)
{
    const auto stored = parseJson(text, "progress of job " + m_spec.id);
    if (!stored.ok())
        return stored.status();
    try {
        if (!stored->at("phase").is_string())
            return makeError(ErrorKind::Internal,
                             "progress of job " + m_spec.id + ": phase is not a string");
        m_phase = stored->at("phase").get<JobPhase>();
        m_cancelled = m_phase == JobPhase::Cancelled;
        if (!stored->contains("tasks"))
            return absl::OkStatus();
        for (const auto &[number, steps] : stored->at("tasks").items()) {
            Occurrence occurrence = emptyOccurrence(m_spec);
            for (std::size_t step = 0; step < occurrence.size(); ++step) {
                for (std::size_t index = 0; index < occurrence[step].size(); ++index)
                    occurrence[step][index] = taskFromJson(steps.at(step).at(index));
            }
            m_occurrences[std::stoi(number)] = std::move(occurrence);
        }
    } catch (const std::exception &error) {
        return makeError(ErrorKind::Internal, "progress of job " + m_spec.id + ": " + error.what());
    }
    refresh();
    return absl::OkStatus();
}

} // namespace lavenderarch
