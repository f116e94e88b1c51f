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
    /// Replaces the contents as of `version` by `rows`, which hold all states of that version and
    /// may hold newer ones. Known states that are newer than `version` stay.
    void replace(const std::vector<Row> &rows, std::int64_t version);
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
    using Jobs = std::map<std::string, Entry>;
    void applyLocked(const Row &row);
    /// Forgets the job; returns the next one.
    Jobs::iterator eraseLocked(Jobs::iterator job);

    mutable std::mutex m_mutex;
    Jobs m_jobs;                                   // guarded by m_mutex
    std::map<std::string, std::int64_t> m_pending; // by queue; guarded by m_mutex
};

} // namespace lavenderarch
