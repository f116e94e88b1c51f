// Synchronous handling of signals.
#pragma once

#include "lavenderarch/core/time.h"

#include <csignal>
#include <initializer_list>

namespace lavenderarch {

/// Blocks the signals in the calling thread; waitFor receives them. Create it before starting
/// threads: they inherit the signal mask.
class BlockedSignals
{
public:
    explicit BlockedSignals(std::initializer_list<int> signals);

    /// Number of the next signal that arrives; negative when none does within `timeout`.
    int waitFor(Milliseconds timeout) const;

private:
    sigset_t m_signals{};
};

} // namespace lavenderarch
