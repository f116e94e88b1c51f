// The cell owner's model of one job: its tasks, its phase and their stored form.
#pragma once

#include "lavenderarch/dispatch/job_phase.h"
#include "lavenderarch/dispatch/job_spec.h"
#include "lavenderarch/dispatch/run_order.h"
#include "lavenderarch/dispatch/task_name.h"
#include "lavenderarch/dispatch/task_state.h"

#include <map>

namespace lavenderarch {

/// State of one job and of the tasks of all its occurrences. Not thread-safe.
class JobModel
{
public:
    /// Tasks of one occurrence by step and index.
    using Occurrence = std::vector<std::vector<TaskState>>;
    /// A ready step with tasks in Waiting.
    struct WaitingStep
    {
        int occurrence = 0;
        std::size_t step = 0;
        /// Version of the room (see FailedSearches) in which no minion was found; 0: not tried.
        std::int64_t failedAt = 0;
        /// Soft constraints (see CellDispatcher::boundSoftConstraints()) hold the step back beside
        /// room until then; unset: there is no room.
        BootTime heldBackUntil{};
        /// Number of tasks that are to be placed regardless of soft constraints.
        int exemptTasks = 0;
    };

    explicit JobModel(JobSpec spec);

    const JobSpec &spec() const { return m_spec; }
    JobPhase phase() const { return m_phase; }
    bool cancelled() const { return m_cancelled; }
    /// True when no run can be active any more and the phase is final.
    bool settled() const { return isFinal(m_phase) && m_active == 0; }

    /// Occurrences by number. An occurrence is created at its due time.
    std::map<int, Occurrence> &occurrences() { return m_occurrences; }
    const std::map<int, Occurrence> &occurrences() const { return m_occurrences; }
    /// Creates the occurrences that are due at `timeOfDayMs`; returns true when one was added.
    bool addDueOccurrences(std::int64_t timeOfDayMs);

    /// Calls `visit` with the name and the state of each task that exists.
    template <typename Visit>
    void forEachTask(Visit visit);
    /// The step of `task`, which must belong to this job.
    const StepSpec &step(const TaskName &task) const;

    TaskState *find(const TaskName &name);
    TaskName name(int occurrence, int step, int index) const;
    /// True when all steps that `step` depends on are done in `occurrence`.
    bool isReady(const Occurrence &occurrence, std::size_t step) const;

    void setPhase(JobPhase phase) { m_phase = phase; }
    /// A minion has started a task. Returns true if the job was queued and is running now.
    bool begin();
    void cancel() { m_cancelled = true; }
    /// Recounts the active runs and the remaining work, and updates the phase unless it is final.
    void refresh();
    int activeRuns() const { return m_active; }
    /// Estimated work of the tasks that are not done, in thousandths of a core times
    /// milliseconds, as of refresh(). Long-running tasks count as 0.
    std::int64_t remainingWork() const { return m_remainingWork; }
    /// When the owner has read the job from the store.
    BootTime loadedAt() const { return m_loadedAt; }
    void setLoadedAt(BootTime time) { m_loadedAt = time; }
    /// When the owner begins to place tasks of the job before those of smaller ones.
    BootTime overdueAt() const { return m_overdueAt; }
    void setOverdueAt(BootTime time) { m_overdueAt = time; }
    /// The steps with tasks to place, as of refresh().
    std::vector<WaitingStep> &waitingSteps() { return m_waitingSteps; }
    /// Groups of the steps in FailedSearches.
    void setSearchGroups(std::vector<int> groups) { m_searchGroups = std::move(groups); }
    int searchGroup(std::size_t step) const { return m_searchGroups[step]; }

    /// Serializes the job's progress for the store. A settled job is stored without its tasks.
    std::string progressText() const;
    /// True when progressText() of a settled job has returned `text`.
    static bool isSettled(const std::string &text);
    /// Restores the progress from progressText(). The error message says what is not valid.
    Status loadProgress(const std::string &text);

private:
    void refreshWaitingSteps();

    JobSpec m_spec;
    JobPhase m_phase = JobPhase::Queued;
    bool m_cancelled = false;
    int m_active = 0; ///< tasks in Placed or Stopping, as of refresh()
    std::int64_t m_remainingWork = 0;
    BootTime m_loadedAt{};
    BootTime m_overdueAt = BootTime::max();
    std::vector<WaitingStep> m_waitingSteps;
    std::vector<int> m_searchGroups; ///< by step; empty until set
    std::map<int, Occurrence> m_occurrences;
};

template <typename Visit>
void JobModel::forEachTask(Visit visit)
{
    for (auto &[number, occurrence] : m_occurrences) {
        for (std::size_t step = 0; step < occurrence.size(); ++step) {
            for (std::size_t index = 0; index < occurrence[step].size(); ++index)
                visit(name(number, static_cast<int>(step), static_cast<int>(index)),
                      occurrence[step][index]);
        }
    }
}

/// The step of the task of `run`, which must belong to `job`.
const StepSpec &stepOf(const JobModel &job, const RunKey &run);

} // namespace lavenderarch
