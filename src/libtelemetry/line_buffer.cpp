// Collects lines for a short time and writes them with one call, since a wake-up and a call for
// each line cost more than the line itself.
#include "line_buffer.h"

#include "lavenderarch/core/time.h"

#include <cerrno>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace lavenderarch {
namespace {

/// Delay after the first line of a batch. A killed process loses the lines of this time.
constexpr Milliseconds batchDelay{20};
/// Longest wait at the end of the process for an output that is not read.
constexpr Milliseconds finalWait{100};
/// A pipe that is ready for writing takes this many bytes without blocking.
constexpr std::size_t finalChunkBytes = 4096;

/// False when the output cannot be written.
bool writeAll(int descriptor, std::string_view text, const std::stop_token &stop)
{
    while (!text.empty()) {
        std::size_t size = text.size();
        if (stop.stop_requested()) {
            pollfd output{descriptor, POLLOUT, 0};
            if (::poll(&output, 1, static_cast<int>(finalWait.count())) != 1)
                return false;
            size = std::min(size, finalChunkBytes);
        }
        const ssize_t written = ::write(descriptor, text.data(), size);
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (written > 0)
            text.remove_prefix(static_cast<std::size_t>(written));
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
        const bool written = writeAll(m_descriptor, lines, stop);
        lock.lock();
        m_waitingLines -= taken;
        if (!written) {
            m_counts.buffered -= taken;
            m_counts.dropped += taken;
        }
    }
}

} // namespace lavenderarch
