// The signals that a daemon answers: stop and reload.
#pragma once

#include "lavenderarch/core/blocked_signals.h"

namespace lavenderarch {

enum class ProcessSignal { None, Reload, Stop };

/// Create it before any other thread starts: it blocks SIGTERM, SIGINT and SIGHUP for all threads.
class ProcessSignals
{
public:
    ProcessSignals();

    /// The next signal, or None after `timeout`.
    ProcessSignal waitFor(Milliseconds timeout) const;

private:
    BlockedSignals m_signals;
};

} // namespace lavenderarch
