// The thread that answers held calls.
#include "lavenderarch/runtime/held_calls.h"

namespace lavenderarch {

HeldCalls::HeldCalls(std::mutex &mutex, Decide decide)
    : m_mutex(mutex)
    , m_decide(std::move(decide))
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{
}

HeldCalls::~HeldCalls()
{
    m_thread.request_stop();
    {
        const std::scoped_lock lock(m_mutex);
        m_changed.notify_all();
    }
    m_thread.join();
    for (const auto &[until, call] : m_calls)
        call.answer(makeError(ErrorKind::StaleCommand, "this process is stopping"));
}

void HeldCalls::submit(HeldCall call)
{
    std::optional<HeldCall::Result> result;
    {
        const std::scoped_lock lock(m_mutex);
        result = m_decide(call);
        if (!result) {
            const std::string agent = call.request.agent;
            const BootTime until = call.until;
            const auto held = m_calls.emplace(until, std::move(call));
            m_byAgent.emplace(agent, held);
            if (held == m_calls.begin())
                m_changed.notify_one(); // the thread waits for a later time
            return;
        }
    }
    call.answer(*std::move(result));
}

void HeldCalls::wake(const std::string &agent)
{
    if (m_byAgent.count(agent) == 0)
        return;
    m_wokenAgents.insert(agent);
    m_changed.notify_one();
}

void HeldCalls::wakeAll()
{
    m_allWoken = true;
    m_changed.notify_one();
}

void HeldCalls::run(const std::stop_token &stop)
{
    std::unique_lock lock(m_mutex);
    while (!stop.stop_requested()) {
        std::vector<Answered> answered = takeAnswered();
        if (!answered.empty()) {
            lock.unlock();
            for (Answered &each : answered)
                each.answer(std::move(each.result));
            lock.lock();
            continue;
        }
        const auto woken = [&] {
            return stop.stop_requested() || m_allWoken || !m_wokenAgents.empty();
        };
        if (woken())
            continue;
        if (m_calls.empty())
            m_changed.wait(lock);
        else
            m_changed.wait_for(lock, m_calls.begin()->first - BootClock::now());
    }
}

std::vector<HeldCalls::Answered> HeldCalls::takeAnswered()
{
    std::vector<Answered> answered;
    const std::set<std::string> agents = std::exchange(m_wokenAgents, {});
    if (std::exchange(m_allWoken, false)) {
        for (auto next = m_calls.begin(); next != m_calls.end();)
            decideOne(next++, answered);
        return answered;
    }
    for (const std::string &agent : agents) {
        auto [next, end] = m_byAgent.equal_range(agent);
        while (next != end)
            decideOne((next++)->second, answered);
    }
    const BootTime now = BootClock::now();
    while (!m_calls.empty() && m_calls.begin()->first <= now) {
        const std::size_t before = m_calls.size();
        decideOne(m_calls.begin(), answered);
        if (m_calls.size() == before)
            break; // asked again after the next wait
    }
    return answered;
}

void HeldCalls::decideOne(Calls::iterator call, std::vector<Answered> &answered)
{
    auto result = m_decide(call->second);
    if (!result)
        return;
    answered.push_back({std::move(call->second.answer), *std::move(result)});
    auto [entry, end] = m_byAgent.equal_range(call->second.request.agent);
    while (entry != end && entry->second != call)
        ++entry;
    if (entry != end)
        m_byAgent.erase(entry);
    m_calls.erase(call);
}

} // namespace lavenderarch
