// Calls of agents that wait for their answers without a thread each.
#pragma once

#include "lavenderarch/runtime/held_call.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lavenderarch {

/// Keeps calls until they can be answered, and answers them on a thread of its own. The mutex
/// belongs to the owner of this object and is held during `decide`, not during answers.
class HeldCalls
{
public:
    /// Returns the answer of a call, or nothing if it has to wait until it is woken or until its
    /// latest time.
    using Decide = std::function<std::optional<HeldCall::Result>(HeldCall &)>;

    HeldCalls(std::mutex &mutex, Decide decide);
    /// Rejects the calls that are held.
    ~HeldCalls();
    HeldCalls(const HeldCalls &) = delete;
    HeldCalls &operator=(const HeldCalls &) = delete;

    /// Answers the call at once if that is possible. Requires that the mutex is not held.
    void submit(HeldCall call);
    /// Looks at the calls of `agent` again. Requires the mutex.
    void wake(const std::string &agent);
    /// Looks at all calls again. Requires the mutex.
    void wakeAll();

private:
    using Calls = std::multimap<BootTime, HeldCall>; // by latest time
    struct Answered
    {
        HeldCall::Answer answer;
        HeldCall::Result result;
    };

    void run(const std::stop_token &stop);
    /// Requires the mutex. Removes and returns the calls that can be answered.
    std::vector<Answered> takeAnswered();
    /// Requires the mutex.
    void decideOne(Calls::iterator call, std::vector<Answered> &answered);

    std::mutex &m_mutex;
    const Decide m_decide;
    std::condition_variable m_changed;                     // wakes the thread
    Calls m_calls;                                         // guarded by m_mutex
    std::multimap<std::string, Calls::iterator> m_byAgent; // guarded by m_mutex
    std::set<std::string> m_wokenAgents;                   // guarded by m_mutex
    bool m_allWoken = false;                               // guarded by m_mutex
    std::jthread m_thread;                                 // declared last, so joined first
};

} // namespace lavenderarch
