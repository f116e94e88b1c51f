// Check of the job phases that the owner of a simulated cell stores.
#pragma once

#include "lavenderarch/dispatch/cell_commit.h"
#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/dispatch/job_spec.h"
#include "lavenderarch/dispatch/task_name.h"

#include <doctest/doctest.h>
#include <set>

namespace lavenderarch::testing {

/// Compares stored phases with what has happened on the minions. Refers to the jobs, to those of
/// which a task has started and to the tasks that are done; they must outlive it.
class StoredPhaseCheck
{
public:
    StoredPhaseCheck(const std::map<std::string, JobSpec> &specs,
                     const std::set<std::string> &begun, const std::set<std::string> &done)
        : m_specs(specs)
        , m_begun(begun)
        , m_done(done)
    {
    }

    void checkCommit(const CellCommit &commit)
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
    void checkAllDone(const JobSpec &spec)
    {
        for (std::size_t step = 0; step < spec.steps.size(); ++step) {
            for (int index = 0; index < spec.steps[step].count; ++index)
                CHECK_MESSAGE(
                    m_done.count(TaskName{spec.id, 0, static_cast<int>(step), index}.text()) == 1,
                    "job stored as done before all its tasks were done: ", spec.id);
        }
    }

    const std::map<std::string, JobSpec> &m_specs;
    const std::set<std::string> &m_begun;
    const std::set<std::string> &m_done;
    std::set<std::string> m_storedAsRunning; // jobs that were stored in a later phase than queued
};

} // namespace lavenderarch::testing
