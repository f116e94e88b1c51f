// Collects lines for a short time, since a wake-up and a call for each line cost more than the line
// itself. A call writes whole lines only, so that a reader that keeps up never sees a part of one.
#include "line_buffer.h"

#include "lavenderarch/core/time.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace lavenderarch {
namespace {

/// Delay after the first line of a batch. A killed process loses the lines of this time.
constexpr Milliseconds batchDelay{20};
/// Time after which the end of the process is noticed while the output is not read.
constexpr Milliseconds pollInterval{100};
/// A pipe that is ready for writing takes this many bytes without blocking.
constexpr std::size_t readyBytes = 4096;

/// False when the output cannot be written.
bool writeText(int descriptor, std::string_view text, const std::stop_token &stop)
{
    while (!text.empty()) {
        // A write to a full pipe would block, also beyond the end of the process.
        pollfd output{descriptor, POLLOUT, 0};
        if (::poll(&output, 1, static_cast<int>(pollInterval.count())) != 1) {
            if (stop.stop_requested())
                return false;
            continue;
        }
        const ssize_t written = ::write(descriptor, text.data(), std::min(text.size(), readyBytes));
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (written > 0)
            text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool writeWholeLines(int descriptor, std::string_view lines, const std::stop_token &stop)
{
    while (!lines.empty()) {
        std::size_t length = lines.size();
        if (length > readyBytes) {
            const std::size_t last = lines.rfind('\n', readyBytes - 1);
            length = last == std::string_view::npos ? lines.find('\n') + 1 : last + 1;
        }
        if (!writeText(descriptor, lines.substr(0, length), stop))
            return false;
        lines.remove_prefix(length);
    }
    return true;
}

} // namespace

LineBuffer::LineBuffer(int descriptor, std::int64_t capacityLines)
    : m_descriptor(descriptor)
    , m_capacityLines(capacityLines)
    , m_thread([this](const std::stop_token &stop) { writeLines(stop); })
{
}

LineBuffer::~LineBuffer()
{
    m_thread.request_stop();
}

void LineBuffer::add(const std::string &line)
{
    const std::scoped_lock lock(m_mutex);
    if (m_waitingLines >= m_capacityLines) {
        ++m_counts.dropped;
        return;
    }
    ++m_counts.buffered;
    ++m_waitingLines;
    m_lines += line;
    if (m_lines.size() == line.size())
        m_added.notify_one();
}

LogCounts LineBuffer::counts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_counts;
}

bool LineBuffer::flush(BootTime deadline)
{
    std::unique_lock lock(m_mutex);
    const std::int64_t target = m_takenLines + m_waitingLines;
    return m_written.wait_for(lock, deadline - BootClock::now(),
                              [&] { return m_takenLines >= target; });
}

void LineBuffer::writeLines(const std::stop_token &stop)
{
    std::int64_t reportedDrops = 0;
    std::unique_lock lock(m_mutex);
    while (true) {
        m_added.wait(lock, stop, [&] { return !m_lines.empty(); });
        m_added.wait_for(lock, stop, batchDelay, [] { return false; });
        if (m_lines.empty())
            return; // stop was requested and everything is written
        std::string lines = std::exchange(m_lines, {});
        const std::int64_t taken = m_waitingLines;
        if (m_counts.dropped != reportedDrops) {
            lines.append(R"({ "level": "WARN", "logger": "log", "message": "log lines dropped", )")
                .append(R"("context_map": { "lines": ")")
                .append(std::to_string(m_counts.dropped - reportedDrops))
                .append("\" } }\n");
            reportedDrops = m_counts.dropped;
        }
        lock.unlock();
        const bool written = writeWholeLines(m_descriptor, lines, stop);
        lock.lock();
        m_waitingLines -= taken;
        if (!written) {
            m_counts.buffered -= taken;
            m_counts.dropped += taken;
        }
        m_takenLines += taken;
        m_written.notify_all();
    }
}

} // namespace lavenderarch
