// An entry's in-memory copy of the job states in the store.
#pragma once

#include "lavenderarch/dispatch/job_state_row.h"
#include "lavenderarch/storage/row.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lavenderarch {

/// Also knows how much memory the jobs of each cell take at its owner. Thread-safe.
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

    /// Counts `memoryKib` for a job that is about to be accepted, until its state is known. False,
    /// without an effect, if that is more than an eighth of what the other jobs of the cell leave
    /// of `limitKib`. A quarter of the limit is for small jobs only. So large jobs are refused
    /// first, and small ones still find room.
    bool admit(const std::string &cell, const std::string &job, std::int64_t memoryKib,
               std::int64_t limitKib);
    /// Takes back admit() for a job that was not accepted.
    void withdraw(const std::string &job);
    /// Memory in KiB of the jobs of the cell that are known or admitted.
    std::int64_t memoryKib(const std::string &cell) const;

private:
    struct Entry
    {
        JobStateRow state;
        std::int64_t version = 0;
        std::string cell;
    };
    struct Admission
    {
        std::string cell;
        std::int64_t memoryKib = 0;
    };
    using Jobs = std::map<std::string, Entry>;
    void applyLocked(const Row &row);
    /// Forgets the job; returns the next one.
    Jobs::iterator eraseLocked(Jobs::iterator job);
    void withdrawLocked(const std::string &job);

    mutable std::mutex m_mutex;
    Jobs m_jobs;                                   // guarded by m_mutex
    std::map<std::string, std::int64_t> m_pending; // by queue; guarded by m_mutex
    std::map<std::string, Admission> m_admitted;   // by job; guarded by m_mutex
    /// Sum over m_jobs and m_admitted by cell; guarded by m_mutex.
    std::map<std::string, std::int64_t> m_memoryKib;
};

} // namespace lavenderarch
