// Estimates how long a new job of a queue waits until its first task starts.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/queue_backlog.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lavenderarch {

/// By Little's law the mean wait is the number of waiting jobs divided by the rate at which they
/// begin, whatever limits that rate: the owner, the room or the store. Not thread-safe.
class BacklogMeter
{
public:
    /// Adds an observation of all queues. Observations in quick succession are ignored.
    void observe(const std::map<std::string, QueueBacklog> &queues, BootTime now);
    /// Nothing if the wait is unknown: the last observation is too old, no job has begun recently,
    /// as while no process owns the cell, or the queue has had a backlog for a short time only.
    std::optional<Milliseconds> wait(const std::string &queue, BootTime now) const;

private:
    struct Observation
    {
        BootTime at{};
        QueueBacklog backlog;
    };
    struct History
    {
        std::deque<Observation> observations; // since the queue last had no backlog
        BootTime lastBegin{};                 // last observation in which a job had begun
    };

    std::map<std::string, History> m_queues;
    BootTime m_nextObservation{};
};

} // namespace lavenderarch
