// Stores accepted jobs, batching several into one transaction.
#pragma once

#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/runtime/adaptive_timeout.h"
#include "lavenderarch/storage/row_store.h"
#include "lavenderarch/telemetry/log.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace lavenderarch {

/// Maximum number of jobs in one transaction. A transaction has at most 100 entries, and each job
/// takes four of them.
inline constexpr std::size_t maxJobsPerAcceptance = 20;
/// Largest row of the store, and largest sum of the job rows in one transaction. A transaction has
/// at most 1 MB, in which values take a third more than their size.
inline constexpr std::size_t maxJobRowBytes = 65'536;
inline constexpr std::size_t maxAcceptanceBytes = 600'000;
/// Maximum number of concurrent transactions of one entry.
inline constexpr int acceptanceThreads = 3;
/// Delay between two attempts of a transaction.
inline constexpr Milliseconds acceptanceRetryPause{60};
/// Time for which a job is retried while the store refuses it, before the caller is answered.
inline constexpr Milliseconds refusalDelay{150};

/// Thread-safe. Does not own the store, which must outlive it.
template <RowStore Store>
class JobAcceptor
{
public:
    explicit JobAcceptor(Store &store)
        : m_store(store)
    {
        for (int index = 0; index < acceptanceThreads; ++index)
            m_threads.emplace_back([this](const std::stop_token &stop) { run(stop); });
    }
    ~JobAcceptor()
    {
        for (auto &thread : m_threads)
            thread.request_stop();
        m_queueChanged.notify_all();
    }
    JobAcceptor(const JobAcceptor &) = delete;
    JobAcceptor &operator=(const JobAcceptor &) = delete;

    /// Reports that the store has the job, so that a blocked accept() of it returns OK.
    void markStored(const std::string &job)
    {
        {
            const std::scoped_lock lock(m_mutex);
            const auto waiting = m_waiting.find(job);
            if (waiting == m_waiting.end() || waiting->second->result)
                return;
            waiting->second->result = absl::OkStatus();
        }
        m_answered.notify_all();
    }

    /// Blocks until the job is stored, is known to be stored already, or cannot be stored in time.
    /// OK: the job is stored, by this call or an earlier one. StoreUnavailable: this call has not
    /// stored it and never will. Conflict: no call has stored it, and its cancellation keeps any
    /// from doing so. OutcomeUnknown: it may be stored, even after the call returns.
    /// PayloadTooLarge: its row is too large for the store, so that no call can store it.
    Status accept(const JobSpec &job, BootTime deadline)
    {
        auto request = std::make_shared<Request>();
        request->job = job;
        request->row = cells::jobWrite(job.service, job);
        if (request->row.value.size() > maxJobRowBytes)
            return makeError(ErrorKind::PayloadTooLarge,
                             "the job takes " + std::to_string(request->row.value.size()) +
                                 " bytes of at most " + std::to_string(maxJobRowBytes));
        request->deadline = deadline;
        request->refuseAt = BootClock::now() + refusalDelay;
        {
            const std::scoped_lock lock(m_mutex);
            m_queue.push_back(request);
            m_waiting[job.id] = request;
        }
        m_queueChanged.notify_one();
        std::unique_lock lock(m_mutex);
        m_answered.wait(lock, [&] { return request->result.has_value(); });
        if (const auto waiting = m_waiting.find(job.id);
            waiting != m_waiting.end() && waiting->second == request)
            m_waiting.erase(waiting);
        return *request->result;
    }

private:
    struct Request
    {
        JobSpec job;
        RowWrite row; // of the job
        BootTime deadline{};
        BootTime refuseAt{};          // when a definite refusal is answered
        bool maybeStored = false;     // an attempt had an unknown outcome
        std::optional<Status> result; // guarded by m_mutex
    };
    using RequestPtr = std::shared_ptr<Request>;

    void run(const std::stop_token &stop)
    {
        while (true) {
            std::vector<RequestPtr> batch;
            {
                std::unique_lock lock(m_mutex);
                m_queueChanged.wait(lock,
                                    [&] { return stop.stop_requested() || !m_queue.empty(); });
                if (m_queue.empty())
                    return;
                // Jobs of one cell only, since a transaction changes a single partition.
                const std::string cell = m_queue.front()->job.service;
                std::size_t bytes = 0;
                for (auto next = m_queue.begin();
                     next != m_queue.end() && batch.size() < maxJobsPerAcceptance;) {
                    const std::size_t size = (*next)->row.value.size();
                    const bool taken =
                        (*next)->job.service == cell && bytes + size <= maxAcceptanceBytes;
                    if (taken) {
                        batch.push_back(*next);
                        bytes += size;
                    }
                    next = taken ? m_queue.erase(next) : std::next(next);
                }
            }
            storeBatch(std::move(batch));
        }
    }

    bool isAnswered(const RequestPtr &request)
    {
        const std::scoped_lock lock(m_mutex);
        return request->result.has_value();
    }

    void storeBatch(std::vector<RequestPtr> batch)
    {
        while (true) {
            std::erase_if(batch, [&](const RequestPtr &request) { return isAnswered(request); });
            if (batch.empty())
                return;
            RowTransaction change;
            for (const RequestPtr &request : batch) {
                const JobSpec &job = request->job;
                change.conditions.push_back({cells::jobKey(job.service, job.id), 0});
                change.conditions.push_back({cells::cancelKey(job.service, job.id), 0});
                change.writes.push_back(request->row);
                change.writes.push_back(cells::queuedWrite(job.service, job));
            }
            const BootTime sentAt = BootClock::now();
            const auto commit = m_store.commit(
                change, std::min(batch.front()->deadline, sentAt + m_commitTimeout.current()));
            if (commit.ok())
                m_commitTimeout.recordLatency(BootClock::now() - sentAt);
            else if (kindOf(commit.status()) == ErrorKind::OutcomeUnknown)
                m_commitTimeout.recordTimeout();
            if (commit.ok() && commit->committed) {
                for (const RequestPtr &request : batch)
                    finish(request, absl::OkStatus());
                return;
            }
            if (commit.ok())
                resolveConflicts(batch, *commit);
            else
                handleFailure(batch, commit.status());
        }
    }

    /// Finishes the jobs that already have a row: an earlier attempt or another entry has stored
    /// them, or they were cancelled before they were stored.
    void resolveConflicts(std::vector<RequestPtr> &batch, const RowCommit &commit)
    {
        const auto exists = [&](const RowKey &key) {
            return std::any_of(commit.current.begin(), commit.current.end(),
                               [&](const Row &row) { return row.key == key && row.version != 0; });
        };
        std::erase_if(batch, [&](const RequestPtr &request) {
            const JobSpec &job = request->job;
            const bool stored = exists(cells::jobKey(job.service, job.id));
            if (!stored && !exists(cells::cancelKey(job.service, job.id)))
                return false;
            finish(request, stored ? absl::OkStatus()
                                   : makeError(ErrorKind::Conflict,
                                               "the job was cancelled before it was accepted"));
            return true;
        });
    }

    void handleFailure(std::vector<RequestPtr> &batch, const Status &error)
    {
        const bool unknown = kindOf(error) != ErrorKind::StoreUnavailable;
        const BootTime now = BootClock::now();
        std::erase_if(batch, [&](const RequestPtr &request) {
            request->maybeStored = request->maybeStored || unknown;
            // A definite refusal is answered early, so that the caller can try another entry.
            const bool refused = !request->maybeStored && now >= request->refuseAt;
            if (!refused && now + acceptanceRetryPause < request->deadline)
                return false;
            finish(request, request->maybeStored ? makeError(ErrorKind::OutcomeUnknown,
                                                             "the store did not confirm the job")
                                                 : error);
            return true;
        });
        if (!batch.empty())
            std::this_thread::sleep_for(acceptanceRetryPause);
    }

    void finish(const RequestPtr &request, const Status &result)
    {
        {
            const std::scoped_lock lock(m_mutex);
            if (!request->result)
                request->result = result;
        }
        m_answered.notify_all();
    }

    Store &m_store;
    AdaptiveTimeout m_commitTimeout;
    std::mutex m_mutex;
    std::condition_variable m_queueChanged;
    std::condition_variable m_answered;
    std::deque<RequestPtr> m_queue;              // guarded by m_mutex
    std::map<std::string, RequestPtr> m_waiting; // by job; guarded by m_mutex
    std::vector<std::jthread> m_threads;         // declared last, so joined first
};

} // namespace lavenderarch
