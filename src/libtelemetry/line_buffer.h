// Bounded buffer between the threads that log and the output.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/telemetry/log_counts.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace lavenderarch {

/// Writes lines to a file descriptor on a thread of its own. Thread-safe; add() never waits for the
/// output.
class LineBuffer
{
public:
    /// Does not own `descriptor`. Holds at most `capacityLines` lines that are not yet written.
    LineBuffer(int descriptor, std::int64_t capacityLines);
    /// Writes what the output accepts without delay and drops the rest.
    ~LineBuffer();
    LineBuffer(const LineBuffer &) = delete;
    LineBuffer &operator=(const LineBuffer &) = delete;

    /// Adds one line, which ends with a newline, or counts it as dropped when the buffer is full.
    void add(const std::string &line);
    LogCounts counts() const;
    /// Waits until all lines added so far are written or dropped; false when `deadline` passes
    /// first.
    bool flush(BootTime deadline);

private:
    void writeLines(const std::stop_token &stop);

    const int m_descriptor;
    const std::int64_t m_capacityLines;
    mutable std::mutex m_mutex;
    std::condition_variable_any m_added;
    std::condition_variable_any m_written;
    std::string m_lines;             // not yet taken by the thread; guarded by m_mutex
    std::int64_t m_waitingLines = 0; // not yet written; guarded by m_mutex
    std::int64_t m_takenLines = 0;   // written or lost by the thread; guarded by m_mutex
    LogCounts m_counts;              // guarded by m_mutex
    std::jthread m_thread;           // declared last, so joined first
};

} // namespace lavenderarch
