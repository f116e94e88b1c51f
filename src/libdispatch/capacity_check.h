// Check of the capacity of simulated minions: kinds of minions, and the demand that counts.
#pragma once

#include "lavenderarch/core/random.h"
#include "lavenderarch/dispatch/job_spec.h"
#include "lavenderarch/dispatch/task_name.h"
#include "simulated_minion.h"

#include <doctest/doctest.h>

namespace lavenderarch::testing {

/// Capacities of the kinds of minions that a cell may have.
inline const std::vector<Resources> minionKinds{
    {4000, 8000, 0}, {2000, 3000, 0}, {8000, 6000, 2}, {3000, 16'000, 4}};

/// Checks at each start that what is on the minion, runs being stopped included, fits into the
/// capacity of the minion's incarnation. Computes demands from the specifications of the jobs
/// alone, independently of the code under test.
class CapacityCheck
{
public:
    explicit CapacityCheck(const std::map<std::string, JobSpec> &specs)
        : m_specs(specs)
    {
    }

    /// Called when a run has started; it is among the active runs of the minion.
    void checkStart(const std::string &agent, const SimulatedMinion &minion, const RunKey &started)
    {
        Resources sum;
        std::string runs;
        for (const auto &[task, active] : minion.active()) {
            sum = sum + demandOf(task);
            runs +=
                " " + task + "#" + std::to_string(active.run) + (active.stopping ? "(stop)" : "");
        }
        const Resources &capacity = minion.facts.capacity;
        m_fullStarts += (sum + demandOf(started.task)).fitsInto(capacity) ? 0 : 1;
        CHECK_MESSAGE(sum.fitsInto(capacity), "minion capacity exceeded by the start of ",
                      started.task, "#", started.number, " on ", agent, ": ", sum.text(), " of ",
                      capacity.text(), ";", runs);
    }
    /// Starts after which the same demand would not have fitted again: how full the cell was.
    int fullStarts() const { return m_fullStarts; }

private:
    Resources demandOf(const std::string &task) const
    {
        const auto name = TaskName::parse(task);
        const StepSpec &step = m_specs.at(name->job).steps.at(static_cast<std::size_t>(name->step));
        return {step.bestEffort ? 0 : step.demand.milliCores(), step.demand.memoryMib(),
                step.demand.accelerators()};
    }

    const std::map<std::string, JobSpec> &m_specs;
    int m_fullStarts = 0;
};

} // namespace lavenderarch::testing
