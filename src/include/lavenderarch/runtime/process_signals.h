// The signals that a daemon handles: stop and reload.
#pragma once

#include "lavenderarch/core/blocked_signals.h"

namespace lavenderarch {

enum class ProcessSignal { None, Reload, Stop };

/// Blocks SIGTERM, SIGINT and SIGHUP. Must be created before any other thread starts, so that all
/// threads inherit the signal mask.
class ProcessSignals
{
public:
    ProcessSignals();

    /// Blocks until a signal arrives and returns it; None after `timeout`.
    ProcessSignal waitFor(Milliseconds timeout) const;

private:
    BlockedSignals m_signals;
};

} // namespace lavenderarch
