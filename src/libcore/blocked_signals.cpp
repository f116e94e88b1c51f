// Synchronous handling of signals with sigtimedwait.
#include "lavenderarch/core/blocked_signals.h"

#include <ctime>

namespace lavenderarch {

BlockedSignals::BlockedSignals(std::initializer_list<int> signals)
{
    sigemptyset(&m_signals);
    for (const int signal : signals)
        sigaddset(&m_signals, signal);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
}

int BlockedSignals::waitFor(Milliseconds timeout) const
{
    timespec limit{};
    limit.tv_sec = timeout.count() / 1000;
    limit.tv_nsec = timeout.count() % 1000 * 1'000'000;
    return sigtimedwait(&m_signals, nullptr, &limit);
}

} // namespace lavenderarch
