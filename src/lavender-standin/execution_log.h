// Log of the requests that the simulated minions executed, for the checks of tests and demo.
#pragma once

#include "lavenderarch/core/json_types.h"

#include <map>
#include <mutex>
#include <vector>

namespace lavenderarch {

/// One execution of a request by a minion.
struct Execution
{
    std::string request;
    std::string key;
    std::string minion;
    std::string path;
    TimePoint startedAt;
    TimePoint endedAt;
    TimePoint deadline;

    friend bool operator==(const Execution &, const Execution &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(Execution, request, key, minion, path, startedAt, endedAt,
                                   deadline)
};

/// Thread-safe.
class ExecutionLog
{
public:
    /// Records the start of an execution and returns its index, which end() takes.
    std::size_t begin(Execution execution)
    {
        const std::scoped_lock lock(m_mutex);
        m_executions.push_back(std::move(execution));
        return m_executions.size() - 1;
    }
    void end(std::size_t index, TimePoint at)
    {
        const std::scoped_lock lock(m_mutex);
        m_executions[index].endedAt = at;
    }
    std::vector<Execution> all() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_executions;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Execution> m_executions; // guarded by m_mutex
};

} // namespace lavenderarch
