// Keeps job states by row version and counts the queued jobs of each queue.
#include "lavenderarch/runtime/job_state_cache.h"

#include "lavenderarch/telemetry/log.h"

#include <set>

namespace lavenderarch {

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
    m_jobs[row.key.key] = {*state, row.version};
    if (state->phase == JobPhase::Queued)
        ++m_pending[state->queue];
}

JobStateCache::Jobs::iterator JobStateCache::eraseLocked(Jobs::iterator job)
{
    if (job->second.state.phase == JobPhase::Queued)
        --m_pending[job->second.state.queue];
    return m_jobs.erase(job);
}

std::optional<JobStateRow> JobStateCache::find(const std::string &job) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? std::nullopt : std::optional(found->second.state);
}

std::int64_t JobStateCache::pending(const std::string &queue) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : found->second;
}

} // namespace lavenderarch
