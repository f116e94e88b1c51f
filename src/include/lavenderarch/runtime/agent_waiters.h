// Wakes the blocked calls of agents one by one.
#pragma once

#include "lavenderarch/core/time.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lavenderarch {

/// All methods require the mutex of the owning object.
class AgentWaiters
{
public:
    /// Blocks the call of `agent` until it is woken, at most for `timeout`.
    void wait(const std::string &agent, std::unique_lock<std::mutex> &lock, Milliseconds timeout)
    {
        auto &waiter = m_waiters[agent];
        if (waiter == nullptr)
            waiter = std::make_unique<std::condition_variable>();
        waiter->wait_for(lock, timeout);
    }

    void wake(const std::string &agent)
    {
        if (const auto waiter = m_waiters.find(agent); waiter != m_waiters.end())
            waiter->second->notify_all();
    }
    void wakeAll()
    {
        for (const auto &[agent, waiter] : m_waiters)
            waiter->notify_all();
    }

private:
    std::map<std::string, std::unique_ptr<std::condition_variable>> m_waiters; // by agent
};

} // namespace lavenderarch
