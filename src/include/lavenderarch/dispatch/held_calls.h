// Chooses which of an agent's waiting calls the owner answers.
#pragma once

#include <cstdint>

namespace lavenderarch {

/// The calls of one agent that wait at the owner: its poll and its newest report. New orders answer
/// the report, if there is one, and the next report ends the wait of the one before, so that an end
/// and the start that follows it take one message. Not thread-safe.
class HeldCalls
{
public:
    using Call = std::uint64_t;

    /// Adds a call and returns its number.
    Call begin(bool report)
    {
        ++m_newest;
        if (report)
            m_report = m_newest;
        return m_newest;
    }
    void end(Call call)
    {
        if (m_report == call)
            m_report = 0;
    }
    /// True while a report waits; it answers instead of the poll.
    bool holdsReport() const { return m_report != 0; }
    /// True when a newer report has ended the wait of this one.
    bool replaced(Call call, bool report) const { return report && m_report != call; }
    /// True when new orders answer this call.
    bool getsOrders(Call call, bool report) const
    {
        return report ? m_report == call : m_report == 0;
    }

private:
    Call m_newest = 0;
    Call m_report = 0; // 0: none
};

} // namespace lavenderarch
