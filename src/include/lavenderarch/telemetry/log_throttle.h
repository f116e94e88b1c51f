// Decides which of many similar events are logged.
#pragma once

#include "lavenderarch/core/boot_clock.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderarch {

/// An event is logged when its text differs from the one logged before, at most five times in ten
/// seconds, however often events come. Thread-safe.
class LogThrottle
{
public:
    /// Counts an event; returns the number of events so far if this one is to be logged.
    std::optional<std::int64_t> admit(std::string_view text)
    {
        const BootTime now = BootClock::now();
        const std::scoped_lock lock(m_mutex);
        ++m_count;
        if (now < m_nextLine && (text == m_logged || m_lines >= maxLines))
            return std::nullopt;
        m_lines = now < m_nextLine ? m_lines + 1 : 1;
        m_nextLine = m_lines == 1 ? now + linePause : m_nextLine;
        m_logged = text;
        return m_count;
    }

private:
    static constexpr Milliseconds linePause{10'000};
    static constexpr int maxLines = 5; ///< in one linePause

    std::mutex m_mutex;
    std::int64_t m_count = 0; // guarded by m_mutex, as all below
    std::string m_logged;     // newest logged text
    BootTime m_nextLine{};    // end of the current pause
    int m_lines = 0;          // since the pause began
};

} // namespace lavenderarch
