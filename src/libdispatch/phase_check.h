// Check of the phases of jobs that a simulated cell stores.
#pragma once

#include "lavenderarch/dispatch/cell_commit.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/job_phase.h"
#include "lavenderarch/dispatch/job_spec.h"
#include "lavenderarch/dispatch/task_name.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

namespace lavenderarch::testing {

/// Compares stored phases with the starts and ends that the simulated minions have seen.
class PhaseCheck
{
public:
    explicit PhaseCheck(const std::map<std::string, JobSpec> &specs)
        : m_specs(specs)
    {
    }

    /// A task of the job has started.
    void recordStart(const std::string &job) { m_begun.insert(job); }
    /// The end of one member of a gang as done stands for the whole gang.
    void recordDone(const std::string &task)
    {
        m_done.insert(task);
        auto name = *TaskName::parse(task);
        const auto &step = m_specs.at(name.job).steps[static_cast<std::size_t>(name.step)];
        for (name.index = 0; step.gang && name.index < step.count; ++name.index)
            m_done.insert(name.text());
    }
    bool isDone(const TaskName &task) const { return m_done.count(task.text()) == 1; }

    void checkStored(const CellCommit &commit)
    {
        for (const RowWrite &write : commit.writes) {
            if (write.key.table != cells::stateTable || write.remove)
                continue;
            const std::string &id = write.key.key;
            const JobPhase phase = Json::parse(write.value).at("phase").get<JobPhase>();
            if (phase == JobPhase::Running)
                CHECK_MESSAGE(m_begun.count(id) == 1,
                              "job stored as running before any of its tasks started: ", id);
            if (phase == JobPhase::Queued)
                CHECK_MESSAGE(m_storedAsRunning.count(id) == 0,
                              "job stored as queued after it was running: ", id);
            else
                m_storedAsRunning.insert(id);
            if (phase == JobPhase::Done)
                checkAllDone(m_specs.at(id));
        }
    }

private:
    void checkAllDone(const JobSpec &spec) const
    {
        for (std::size_t step = 0; step < spec.steps.size(); ++step) {
            for (int index = 0; index < spec.steps[step].count; ++index)
                CHECK_MESSAGE(isDone(TaskName{spec.id, 0, static_cast<int>(step), index}),
                              "job stored as done before all its tasks were done: ", spec.id);
        }
    }

    const std::map<std::string, JobSpec> &m_specs;
    std::set<std::string> m_begun;           // jobs of which a task has started
    std::set<std::string> m_storedAsRunning; // jobs that were stored in a later phase than queued
    std::set<std::string> m_done;
};

} // namespace lavenderarch::testing
