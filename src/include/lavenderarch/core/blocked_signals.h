// Signals that are blocked and then waited for.
#pragma once

#include "lavenderarch/core/time.h"

#include <csignal>
#include <initializer_list>

namespace lavenderarch {

/// Create one before starting threads: it blocks the signals for all of them.
class BlockedSignals
{
public:
    explicit BlockedSignals(std::initializer_list<int> signals);

    /// The number of the next signal that arrives, or 0 or less after `timeout`.
    int waitFor(Milliseconds timeout) const;

private:
    sigset_t m_signals{};
};

} // namespace lavenderarch
