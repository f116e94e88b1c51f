// Callers' operations on jobs: submit, query the state, cancel, and count pending jobs.
#pragma once

#include "lavenderarch/runtime/job_acceptor.h"
#include "lavenderarch/runtime/job_state_cache.h"

#include <limits>

namespace lavenderarch {

/// Timeout of one attempt to store a cancellation.
inline constexpr Milliseconds cancelAttemptTimeout{500};

/// Thread-safe. All state is in the store; the cache is a copy that follows it. Owns neither the
/// store nor the cache, which must outlive it.
template <RowStore Store>
class JobFrontend
{
public:
    /// `cellMemoryKib` is the memory that the jobs of one cell may take at its owner.
    JobFrontend(Store &store, JobStateCache &states,
                std::int64_t cellMemoryKib = std::numeric_limits<std::int64_t>::max())
        : m_store(store)
        , m_states(states)
        , m_cellMemoryKib(cellMemoryKib)
        , m_acceptor(store)
    {
    }

    /// See JobAcceptor::accept. Overloaded when the jobs of the cell leave too little memory.
    Status submit(const JobSpec &job, BootTime deadline)
    {
        if (m_states.find(job.id))
            return absl::OkStatus();
        if (!m_states.admit(job.service, job.id, estimatedMemoryKib(job), m_cellMemoryKib))
            return makeError(ErrorKind::Overloaded,
                             "the jobs of " + job.service + " leave too little memory");
        Status accepted = m_acceptor.accept(job, deadline);
        if (!accepted.ok())
            m_states.withdraw(job.id);
        return accepted;
    }

    /// Applies a state row that was read from the store.
    void applyState(const Row &row)
    {
        m_states.apply(row);
        if (!row.removed)
            m_acceptor.markStored(row.key.key);
    }

    /// NotFound when no such job was accepted; StoreUnavailable when the store cannot be read.
    StatusOr<JobPhase> phase(const std::string &cell, const std::string &job, BootTime deadline)
    {
        if (const auto known = m_states.find(job))
            return known->phase;
        // The owner's row takes precedence over the one written at acceptance.
        auto row = m_store.readOne(cells::stateKey(cell, job), deadline);
        if (row.ok() && row->version == 0)
            row = m_store.readOne(cells::queuedKey(cell, job), deadline);
        if (!row.ok())
            return row.status();
        if (row->version == 0)
            return makeError(ErrorKind::NotFound, "no job " + job);
        m_states.apply(*row);
        const auto known = m_states.find(job);
        if (!known)
            return makeError(ErrorKind::Internal, "cannot parse the state of job " + job);
        return known->phase;
    }

    /// OK once the cancellation is stored. NotFound when there is no such job and there will be
    /// none: an acceptance without an answer may still be carried out by the store, unless a stored
    /// cancellation prevents it.
    Status cancel(const std::string &cell, const std::string &job, BootTime deadline)
    {
        const auto known = phase(cell, job, deadline);
        bool accepted = known.ok();
        if (!accepted && kindOf(known.status()) != ErrorKind::NotFound)
            return known.status();
        if (accepted && isFinal(*known))
            return absl::OkStatus();
        RowTransaction change{{}, {{cells::cancelKey(cell, job), "{}", false}}};
        if (!accepted)
            change.conditions.push_back({cells::jobKey(cell, job), 0});
        bool maybeStored = false;
        while (true) {
            const auto commit =
                m_store.commit(change, std::min(deadline, BootClock::now() + cancelAttemptTimeout));
            if (commit.ok() && commit->committed)
                return accepted ? absl::OkStatus() : known.status();
            if (commit.ok()) { // the job has been accepted since
                accepted = true;
                change.conditions.clear();
                continue;
            }
            maybeStored = maybeStored || kindOf(commit.status()) != ErrorKind::StoreUnavailable;
            if (BootClock::now() + acceptanceRetryPause >= deadline)
                return maybeStored ? makeError(ErrorKind::OutcomeUnknown,
                                               "the store did not confirm the cancellation")
                                   : commit.status();
            std::this_thread::sleep_for(acceptanceRetryPause);
        }
    }

    /// Accepted jobs of the queue for which no task has started.
    std::int64_t pending(const std::string &queue) const { return m_states.pending(queue); }

private:
    Store &m_store;
    JobStateCache &m_states;
    const std::int64_t m_cellMemoryKib;
    JobAcceptor<Store> m_acceptor;
};

} // namespace lavenderarch
