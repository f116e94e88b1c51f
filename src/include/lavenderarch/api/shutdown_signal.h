// Turns SIGTERM and SIGINT into an event that threads can wait for.
#pragma once

#include "lavenderarch/core/blocked_signals.h"

namespace lavenderarch {

/// Create one before starting threads: it blocks the two signals for all of them.
class ShutdownSignal
{
public:
    ShutdownSignal();

    /// Waits until a signal arrived or `timeout` passed; true when one has arrived.
    bool waitFor(Milliseconds timeout);

private:
    BlockedSignals m_signals;
    bool m_received = false;
};

} // namespace lavenderarch
