// Calls a function periodically on its own thread.
#pragma once

#include "lavenderarch/core/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace lavenderarch {

/// Calls the function at once and then waits `interval` after each call. wake() ends the wait
/// early. The destructor waits for a running call. wake() may be called from any thread.
class PeriodicTask
{
public:
    PeriodicTask(Milliseconds interval, std::function<void()> function);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    void wake();

private:
    void run();

    Milliseconds m_interval;
    std::function<void()> m_function;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_woken = false;    // guarded by m_mutex
    bool m_stopping = false; // guarded by m_mutex
    std::thread m_thread;
};

} // namespace lavenderarch
