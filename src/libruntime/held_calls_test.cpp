// Tests of the calls of agents that wait for their answers.
#include "lavenderarch/runtime/held_calls.h"

#include <atomic>
#include <doctest/doctest.h>
#include <fstream>
#include <future>

using namespace lavenderarch;

namespace {

constexpr Milliseconds longTime{60'000};

int threadsOfThisProcess()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("Threads:", 0) == 0)
            return std::stoi(line.substr(8));
    }
    return -1;
}

/// Answers the calls of agents that are ready, and each call whose time is over.
class Host
{
public:
    ~Host() { m_calls.reset(); }

    /// The answer of a call of `agent` with `waits` until its latest time.
    std::future<HeldCall::Result> call(const std::string &agent, Milliseconds waits)
    {
        auto promise = std::make_shared<std::promise<HeldCall::Result>>();
        HeldCall call;
        call.request.agent = agent;
        call.arrived = BootClock::now();
        call.until = call.arrived + waits;
        call.answer = [promise](HeldCall::Result result) { promise->set_value(std::move(result)); };
        m_calls->submit(std::move(call));
        return promise->get_future();
    }
    void setReady(const std::string &agent)
    {
        const std::scoped_lock lock(m_mutex);
        m_ready.insert(agent);
        m_calls->wake(agent);
    }
    void setAllReady()
    {
        const std::scoped_lock lock(m_mutex);
        m_allReady = true;
        m_calls->wakeAll();
    }
    void wake(const std::string &agent)
    {
        const std::scoped_lock lock(m_mutex);
        m_calls->wake(agent);
    }
    void end() { m_calls.reset(); }

private:
    std::optional<HeldCall::Result> decide(const HeldCall &call) const
    {
        ExchangeReply reply;
        if (m_allReady || m_ready.count(call.request.agent) != 0) {
            reply.epoch = 1;
            return reply;
        }
        return BootClock::now() >= call.until ? std::optional<HeldCall::Result>(reply)
                                              : std::nullopt;
    }

    std::mutex m_mutex;
    std::set<std::string> m_ready;
    bool m_allReady = false;
    std::unique_ptr<HeldCalls> m_calls =
        std::make_unique<HeldCalls>(m_mutex, [this](HeldCall &call) { return decide(call); });
};

bool isReady(const std::future<HeldCall::Result> &answer)
{
    return answer.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

} // namespace

// Each poll of an agent held a thread: 480 threads in the owner of a cell of 240 minions.
TEST_CASE("the polls of hundreds of agents wait without a thread each")
{
    Host host;
    const int threads = threadsOfThisProcess();
    std::vector<std::future<HeldCall::Result>> polls;
    for (int agent = 0; agent < 300; ++agent) {
        polls.push_back(host.call("agent-" + std::to_string(agent), longTime));
        polls.push_back(host.call("agent-" + std::to_string(agent), longTime));
    }
    CHECK(threadsOfThisProcess() == threads);
    host.setReady("agent-7");
    CHECK(polls[14].get()->epoch == 1);
    CHECK(polls[15].get()->epoch == 1);
    CHECK_FALSE(isReady(polls[13]));
    CHECK_FALSE(isReady(polls[16]));
    host.setAllReady();
    for (std::size_t index = 0; index < polls.size(); ++index) {
        if (index != 14 && index != 15)
            CHECK(polls[index].get()->epoch == 1);
    }
}

TEST_CASE("a call that can be answered is answered at once")
{
    Host host;
    host.setReady("a");
    auto answer = host.call("a", longTime);
    REQUIRE(isReady(answer));
    CHECK(answer.get()->epoch == 1);
}

TEST_CASE("a call is answered when its time is over, whatever came before or after it")
{
    Host host;
    auto late = host.call("a", longTime);
    auto soon = host.call("b", Milliseconds(20));
    auto sooner = host.call("c", Milliseconds(5));
    CHECK(sooner.get()->epoch == 0);
    CHECK(soon.get()->epoch == 0);
    CHECK_FALSE(isReady(late));
}

TEST_CASE("a call that is woken without an answer goes on waiting")
{
    Host host;
    auto answer = host.call("a", Milliseconds(40));
    host.wake("a");
    host.wake("other");
    CHECK(answer.get()->epoch == 0);
}

TEST_CASE("calls that wait at the end are rejected")
{
    Host host;
    auto answer = host.call("a", longTime);
    host.end();
    CHECK(kindOf(answer.get().status()) == ErrorKind::StaleCommand);
}
