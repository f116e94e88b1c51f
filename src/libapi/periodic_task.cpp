// Thread of a periodic task.
#include "lavenderarch/api/periodic_task.h"

namespace lavenderarch {

PeriodicTask::PeriodicTask(Milliseconds interval, std::function<void()> function)
    : m_interval(interval)
    , m_function(std::move(function))
    , m_thread([this] { run(); })
{
}

PeriodicTask::~PeriodicTask()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void PeriodicTask::wake()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_woken = true;
    }
    m_changed.notify_all();
}

void PeriodicTask::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_woken = false;
        lock.unlock();
        m_function();
        lock.lock();
        m_changed.wait_for(lock, m_interval, [this] { return m_woken || m_stopping; });
    }
}

} // namespace lavenderarch
