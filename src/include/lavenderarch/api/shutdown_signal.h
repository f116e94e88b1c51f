// Turns SIGTERM and SIGINT into an event that threads can wait for.
#pragma once

#include "lavenderarch/core/blocked_signals.h"

namespace lavenderarch {

/// Create it before starting threads: the constructor blocks both signals, and threads inherit the
/// signal mask.
class ShutdownSignal
{
public:
    ShutdownSignal();

    /// Waits until a signal arrives or `timeout` passes; true when a signal has arrived, also in an
    /// earlier call.
    bool waitFor(Milliseconds timeout);

private:
    BlockedSignals m_signals;
    bool m_received = false;
};

} // namespace lavenderarch
