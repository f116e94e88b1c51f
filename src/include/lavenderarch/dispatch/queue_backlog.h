// Counts of a queue's jobs that wait for their first task to start.
#pragma once

#include <cstdint>

namespace lavenderarch {

/// Value type. Jobs with timed occurrences are not counted.
struct QueueBacklog
{
    std::int64_t waiting = 0; ///< jobs of which no task has started
    std::int64_t begun = 0;   ///< jobs that have left that state, since this process started

    friend bool operator==(const QueueBacklog &, const QueueBacklog &) = default;
};

} // namespace lavenderarch
