// Keeps job states by row version and counts the queued jobs of each queue.
#include "lavenderarch/runtime/job_state_cache.h"

#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/telemetry/log.h"

#include <algorithm>
#include <set>

namespace lavenderarch {
namespace {

/// Memory of the state of a job that has ended.
constexpr std::int64_t endedJobKib = 1;
/// Part of the memory left for a cell that one job may take.
constexpr std::int64_t largestPart = 8;
/// A job that takes at most this part of all the memory of a cell is small.
constexpr std::int64_t smallPart = 1024;
/// Part of the memory that only small jobs get. It also covers what other entries accept until this
/// one knows of it.
constexpr std::int64_t reservedPart = 4;

std::int64_t memoryOf(const JobStateRow &state)
{
    return std::max(state.memoryKib, endedJobKib);
}

} // namespace

void JobStateCache::replace(const std::vector<Row> &rows, std::int64_t version)
{
    std::set<std::string> present;
    for (const Row &row : rows)
        present.insert(row.key.key);
    const std::scoped_lock lock(m_mutex);
    for (auto job = m_jobs.begin(); job != m_jobs.end();) {
        const bool removed = job->second.version <= version && present.count(job->first) == 0;
        job = removed ? eraseLocked(job) : std::next(job);
    }
    // The rows hold what was admitted before, or it was removed again unseen.
    for (const auto &[job, admission] : m_admitted)
        m_memoryKib[admission.cell] -= admission.memoryKib;
    m_admitted.clear();
    for (const Row &row : rows)
        applyLocked(row);
}

void JobStateCache::apply(const Row &row)
{
    const std::scoped_lock lock(m_mutex);
    applyLocked(row);
}

void JobStateCache::applyLocked(const Row &row)
{
    const auto known = m_jobs.find(row.key.key);
    if (known != m_jobs.end() && known->second.version >= row.version)
        return;
    if (known != m_jobs.end() && row.removed)
        eraseLocked(known);
    if (row.removed)
        return;
    const auto state = parseAs<JobStateRow>(row.value, "state row " + row.key.key);
    if (!state.ok()) {
        logFailure("states", "cannot parse the state row", state.status(), {{"job", row.key.key}});
        return;
    }
    if (known != m_jobs.end())
        eraseLocked(known);
    withdrawLocked(row.key.key);
    const std::string cell = cells::cellOfState(row.key);
    m_memoryKib[cell] += memoryOf(*state);
    m_jobs[row.key.key] = {*state, row.version, cell};
    if (state->phase == JobPhase::Queued)
        ++m_pending[state->queue];
}

JobStateCache::Jobs::iterator JobStateCache::eraseLocked(Jobs::iterator job)
{
    if (job->second.state.phase == JobPhase::Queued)
        --m_pending[job->second.state.queue];
    m_memoryKib[job->second.cell] -= memoryOf(job->second.state);
    return m_jobs.erase(job);
}

std::optional<JobStateRow> JobStateCache::find(const std::string &job) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? std::nullopt : std::optional(found->second.state);
}

bool JobStateCache::admit(const std::string &cell, const std::string &job, std::int64_t memoryKib,
                          std::int64_t limitKib)
{
    const std::scoped_lock lock(m_mutex);
    if (m_admitted.count(job) != 0)
        return true; // an earlier attempt of the same job
    const bool small = memoryKib <= limitKib / smallPart;
    const std::int64_t usableKib = small ? limitKib : limitKib - limitKib / reservedPart;
    if (memoryKib > (usableKib - m_memoryKib[cell]) / largestPart)
        return false;
    m_memoryKib[cell] += memoryKib;
    m_admitted[job] = {cell, memoryKib};
    return true;
}

void JobStateCache::withdraw(const std::string &job)
{
    const std::scoped_lock lock(m_mutex);
    withdrawLocked(job);
}

void JobStateCache::withdrawLocked(const std::string &job)
{
    const auto admitted = m_admitted.find(job);
    if (admitted == m_admitted.end())
        return;
    m_memoryKib[admitted->second.cell] -= admitted->second.memoryKib;
    m_admitted.erase(admitted);
}

std::int64_t JobStateCache::memoryKib(const std::string &cell) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_memoryKib.find(cell);
    return found == m_memoryKib.end() ? 0 : found->second;
}

std::int64_t JobStateCache::pending(const std::string &queue) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : found->second;
}

} // namespace lavenderarch
