// An entry's in-memory copy of the job states in the store.
#pragma once

#include "lavenderarch/dispatch/job_state_row.h"
#include "lavenderarch/storage/row.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lavenderarch {

/// Thread-safe.
class JobStateCache
{
public:
    /// Replaces the contents by `rows`.
    void replace(const std::vector<Row> &rows);
    /// Applies one row. A row that is not newer than the known one is ignored.
    void apply(const Row &row);

    std::optional<JobStateRow> find(const std::string &job) const;
    /// Accepted jobs of the queue for which no task has started.
    std::int64_t pending(const std::string &queue) const;

private:
    struct Entry
    {
        JobStateRow state;
        std::int64_t version = 0;
    };
    void applyLocked(const Row &row);

    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_jobs;           // guarded by m_mutex
    std::map<std::string, std::int64_t> m_pending; // by queue; guarded by m_mutex
};

} // namespace lavenderarch
