// Deadlines and bounded waits of tests with threads.
#pragma once

#include "lavenderarch/core/boot_clock.h"

#include <thread>

namespace lavenderarch::testing {

inline BootTime deadlineIn(int milliseconds)
{
    return BootClock::now() + Milliseconds(milliseconds);
}

/// Polls until `condition` holds. False after ten seconds, which is far longer than any wait of
/// these tests takes.
template <typename Condition>
bool eventually(Condition condition)
{
    for (int turn = 0; turn < 1000; ++turn) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
}

} // namespace lavenderarch::testing
