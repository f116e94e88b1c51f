// Threads of a WorkerPool. They are detached and share the state with the pool.
#include "lavenderarch/core/worker_pool.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <system_error>
#include <thread>

namespace lavenderarch {

struct WorkerPool::State
{
    State(int threadLimit, std::size_t waitingLimit, Milliseconds idleLimit)
        : maxThreads(threadLimit)
        , maxWaiting(waitingLimit)
        , maxIdleTime(idleLimit)
    {
    }

    const int maxThreads;
    const std::size_t maxWaiting;
    const Milliseconds maxIdleTime;
    std::mutex mutex;
    std::condition_variable added; // wakes idle threads
    std::condition_variable ended; // signals that `threads` has become smaller
    std::deque<Task> waiting;      // guarded by mutex
    int threads = 0;               // guarded by mutex
    int idle = 0;                  // guarded by mutex
    bool stopping = false;         // guarded by mutex

    void run()
    {
        std::unique_lock lock(mutex);
        while (true) {
            ++idle;
            const bool found =
                added.wait_for(lock, maxIdleTime, [&] { return stopping || !waiting.empty(); });
            --idle;
            if (!found || stopping)
                break;
            {
                const Task task = std::move(waiting.front());
                waiting.pop_front();
                lock.unlock();
                task();
            } // what the task owns is released without the lock
            lock.lock();
        }
        --threads;
        ended.notify_all();
    }

    /// Requires the mutex. False if the system provides no further thread.
    static bool addThread(const std::shared_ptr<State> &state)
    {
        try {
            std::thread([state] { state->run(); }).detach();
        } catch (const std::system_error &) {
            return false;
        }
        ++state->threads;
        return true;
    }
};

WorkerPool::WorkerPool(int maxThreads, std::size_t maxWaiting, Milliseconds maxIdleTime)
    : m_state(std::make_shared<State>(maxThreads, maxWaiting, maxIdleTime))
{
}

WorkerPool::~WorkerPool()
{
    std::unique_lock lock(m_state->mutex);
    m_state->stopping = true;
    m_state->added.notify_all();
    m_state->ended.wait(lock, [this] { return m_state->threads == 0; });
    m_state->waiting.clear();
}

bool WorkerPool::submit(Task task)
{
    const std::scoped_lock lock(m_state->mutex);
    State &state = *m_state;
    if (state.stopping || state.waiting.size() >= state.maxWaiting)
        return false;
    const bool threadNeeded = static_cast<std::size_t>(state.idle) <= state.waiting.size();
    if (threadNeeded && state.threads < state.maxThreads && !State::addThread(m_state) &&
        state.threads == 0)
        return false;
    state.waiting.push_back(std::move(task));
    state.added.notify_one();
    return true;
}

int WorkerPool::threads() const
{
    const std::scoped_lock lock(m_state->mutex);
    return m_state->threads;
}

} // namespace lavenderarch
