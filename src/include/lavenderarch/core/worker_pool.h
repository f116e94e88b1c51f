// A pool of threads that grows and shrinks with the tasks that wait.
#pragma once

#include "lavenderarch/core/time.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace lavenderarch {

/// Creates a thread when a task waits and no thread is idle. A thread that has been idle for some
/// time ends. Thread-safe. The destructor discards tasks that have not begun and waits for the
/// others.
class WorkerPool
{
public:
    using Task = std::function<void()>;

    /// At most `maxThreads` tasks run, and at most `maxWaiting` wait.
    WorkerPool(int maxThreads, std::size_t maxWaiting, Milliseconds maxIdleTime);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Returns false, and never runs the task, if too many tasks wait or if there is no thread and
    /// none can be created. An exception that leaves the task ends the program.
    bool submit(Task task);

    /// Number of threads now.
    int threads() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace lavenderarch
