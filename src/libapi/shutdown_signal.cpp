// Waits for SIGTERM or SIGINT and remembers that one arrived.
#include "lavenderarch/api/shutdown_signal.h"

namespace lavenderarch {

ShutdownSignal::ShutdownSignal()
    : m_signals({SIGTERM, SIGINT})
{
}

bool ShutdownSignal::waitFor(Milliseconds timeout)
{
    m_received = m_received || m_signals.waitFor(timeout) > 0;
    return m_received;
}

} // namespace lavenderarch
