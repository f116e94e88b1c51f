// Maps SIGTERM and SIGINT to Stop, and SIGHUP to Reload.
#include "lavenderarch/runtime/process_signals.h"

namespace lavenderarch {

ProcessSignals::ProcessSignals()
    : m_signals({SIGTERM, SIGINT, SIGHUP})
{
}

ProcessSignal ProcessSignals::waitFor(Milliseconds timeout) const
{
    const int received = m_signals.waitFor(timeout);
    if (received <= 0)
        return ProcessSignal::None;
    return received == SIGHUP ? ProcessSignal::Reload : ProcessSignal::Stop;
}

} // namespace lavenderarch
