// State of one job and its serialized form.
#include "lavenderarch/dispatch/job_model.h"

#include "lavenderarch/core/json_text.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lavenderarch {
namespace {

/// Work above this counts as this, so that sums fit into 64 bits.
constexpr std::int64_t maxWork = maxExactInteger;
/// Limit on the tasks of all occurrences that are due: the store's row of 64 KiB has two bytes for
/// each of them.
constexpr std::size_t maxDueTasks = 32'768;
/// Highest run number that is read; new ones follow it.
constexpr std::int64_t maxRunNumber = 1'000'000'000;

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
        task.phase = toInteger(stored, "task", {0, 1}) == 1 ? TaskPhase::Done : TaskPhase::Waiting;
        return task;
    }
    task.phase =
        toInteger(stored.at(0), "active", {0, 1}) == 1 ? TaskPhase::Placed : TaskPhase::Waiting;
    task.run = static_cast<int>(toInteger(stored.at(1), "run", {1, maxRunNumber}));
    task.failures = static_cast<int>(toInteger(stored.at(2), "failures", {0, maxRunNumber}));
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

/// Work of one task in millicores times milliseconds, at most maxWork.
std::int64_t workOf(const StepSpec &step)
{
    const double work =
        static_cast<double>(step.demand.milliCores()) * static_cast<double>(step.estimateMs);
    return static_cast<std::int64_t>(std::min(work, static_cast<double>(maxWork)));
}

bool allDone(const std::vector<TaskState> &tasks)
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const TaskState &task) { return task.phase == TaskPhase::Done; });
}

/// Order of the steps with tasks to place.
bool precedes(const JobModel::WaitingStep &left, const JobModel::WaitingStep &right)
{
    return std::tie(left.occurrence, left.step) < std::tie(right.occurrence, right.step);
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
    std::size_t tasks = 0;
    for (const StepSpec &step : m_spec.steps)
        tasks += static_cast<std::size_t>(step.count);
    bool added = false;
    for (int number = 0; number < m_spec.occurrences; ++number) {
        const std::int64_t due = m_spec.firstDueMs + number * m_spec.intervalMs;
        if (due > timeOfDayMs || m_occurrences.size() * tasks >= maxDueTasks)
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
            const std::int64_t work = spec.longRunning ? 0 : workOf(spec);
            for (const TaskState &task : occurrence[step]) {
                if (task.phase != TaskPhase::Done)
                    m_remainingWork = std::min(m_remainingWork + work, maxWork);
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
    // A step that goes on waiting keeps the time for which it is held back. Both lists are in
    // order.
    const std::vector<WaitingStep> before = std::exchange(m_waitingSteps, {});
    auto previous = before.begin();
    for (const auto &[number, occurrence] : m_occurrences) {
        for (std::size_t step = 0; step < occurrence.size(); ++step) {
            const bool waiting =
                std::any_of(occurrence[step].begin(), occurrence[step].end(),
                            [](const TaskState &task) { return task.phase == TaskPhase::Waiting; });
            if (!waiting || !isReady(occurrence, step))
                continue;
            WaitingStep &added = m_waitingSteps.emplace_back(WaitingStep{number, step});
            previous = std::find_if(previous, before.end(), [&](const WaitingStep &each) {
                return !precedes(each, added);
            });
            if (previous == before.end() || precedes(added, *previous))
                continue;
            added.heldBackUntil = previous->heldBackUntil;
            added.exemptTasks = previous->exemptTasks;
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
    if (!stored.ok() || !stored->is_object() || stored->contains("tasks"))
        return false;
    const auto phase = fromJson<JobPhase>(stored->value("phase", Json()), "phase");
    return phase.ok() && isFinal(*phase);
}

Status JobModel::loadProgress(const std::string &text)
{
    const auto stored = parseJson(text, "progress of job " + m_spec.id);
    if (!stored.ok())
        return stored.status();
    try {
        const auto phase = stored->at("phase").get<JobPhase>();
        std::map<int, Occurrence> occurrences;
        const auto tasks = stored->find("tasks");
        const Json none = Json::object();
        for (const auto &[number, steps] : (tasks == stored->end() ? none : *tasks).items()) {
            Occurrence occurrence = emptyOccurrence(m_spec);
            for (std::size_t step = 0; step < occurrence.size(); ++step) {
                for (std::size_t index = 0; index < occurrence[step].size(); ++index)
                    occurrence[step][index] = taskFromJson(steps.at(step).at(index));
            }
            const int key = std::stoi(number);
            if (key < 0 || key >= std::max(m_spec.occurrences, 1))
                return makeError(ErrorKind::Internal,
                                 "progress of job " + m_spec.id + ": no occurrence " + number);
            occurrences[key] = std::move(occurrence);
        }
        m_phase = phase;
        m_cancelled = m_phase == JobPhase::Cancelled;
        if (tasks == stored->end())
            return absl::OkStatus();
        for (auto &[key, occurrence] : occurrences)
            m_occurrences[key] = std::move(occurrence);
    } catch (const std::exception &error) {
        return makeError(ErrorKind::Internal, "progress of job " + m_spec.id + ": " + error.what());
    }
    refresh();
    return absl::OkStatus();
}

} // namespace lavenderarch
