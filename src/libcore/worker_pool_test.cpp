// Tests of the worker pool.
#include "lavenderarch/core/worker_pool.h"

#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <thread>
#include <vector>

using namespace lavenderarch;

namespace {

constexpr Milliseconds longTime{60'000};

/// Blocks tasks until it is opened.
class Gate
{
public:
    void open() { m_promise.set_value(); }
    void pass() const { m_future.wait(); }

private:
    std::promise<void> m_promise;
    std::shared_future<void> m_future = m_promise.get_future().share();
};

void waitUntil(const std::function<bool()> &reached)
{
    while (!reached())
        std::this_thread::yield();
}

} // namespace

// A fixed pool of the largest size held hundreds of threads that never had work.
TEST_CASE("a pool has as many threads as tasks run at once, up to its limit")
{
    Gate gate;
    WorkerPool pool(3, 100, longTime);
    CHECK(pool.threads() == 0);
    std::atomic<int> running{0};
    std::atomic<int> done{0};
    for (int task = 0; task < 10; ++task) {
        CHECK(pool.submit([&] {
            ++running;
            gate.pass();
            --running;
            ++done;
        }));
    }
    waitUntil([&] { return running == 3; });
    CHECK(pool.threads() == 3);
    gate.open();
    waitUntil([&] { return done == 10; });
}

TEST_CASE("tasks one after the other share a thread")
{
    WorkerPool pool(8, 100, longTime);
    for (int task = 0; task < 50; ++task) {
        std::promise<void> done;
        REQUIRE(pool.submit([&] { done.set_value(); }));
        done.get_future().wait();
        // The thread may not be idle yet when the next task comes.
        CHECK(pool.threads() <= 2);
    }
}

TEST_CASE("idle threads end")
{
    WorkerPool pool(4, 100, Milliseconds(1));
    std::atomic<int> done{0};
    for (int task = 0; task < 4; ++task)
        REQUIRE(pool.submit([&] { ++done; }));
    waitUntil([&] { return done == 4 && pool.threads() == 0; });
    REQUIRE(pool.submit([&] { ++done; }));
    waitUntil([&] { return done == 5; });
}

TEST_CASE("a task is rejected when too many wait, and never runs")
{
    Gate gate;
    std::atomic<int> done{0};
    std::atomic<bool> rejectedRan{false};
    {
        WorkerPool pool(1, 2, longTime);
        std::promise<void> began;
        REQUIRE(pool.submit([&] {
            began.set_value();
            gate.pass();
            ++done;
        }));
        began.get_future().wait();
        CHECK(pool.submit([&] { ++done; }));
        CHECK(pool.submit([&] { ++done; }));
        CHECK_FALSE(pool.submit([&] { rejectedRan = true; }));
        gate.open();
        waitUntil([&] { return done == 3; });
    }
    CHECK_FALSE(rejectedRan);
}

TEST_CASE("the destructor waits for running tasks and discards the others")
{
    Gate gate;
    std::atomic<int> done{0};
    std::thread opener;
    {
        WorkerPool pool(1, 10, longTime);
        std::promise<void> began;
        REQUIRE(pool.submit([&] {
            began.set_value();
            gate.pass();
            ++done;
        }));
        began.get_future().wait();
        REQUIRE(pool.submit([&] { done += 100; }));
        opener = std::thread([&] {
            std::this_thread::sleep_for(Milliseconds(20));
            gate.open();
        });
    }
    opener.join();
    CHECK(done == 1);
}
