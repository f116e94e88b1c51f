// Signals as events, by sigtimedwait.
#include "lavenderarch/runtime/process_signals.h"

#include <csignal>
#include <ctime>

namespace lavenderarch {
namespace {

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

ProcessSignals::ProcessSignals()
{
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

ProcessSignal ProcessSignals::waitFor(Milliseconds timeout) const
{
    const sigset_t signals = handledSignals();
    timespec limit{};
    limit.tv_sec = timeout.count() / 1000;
    limit.tv_nsec = timeout.count() % 1000 * 1'000'000;
    const int received = sigtimedwait(&signals, nullptr, &limit);
    if (received <= 0)
        return ProcessSignal::None;
    return received == SIGHUP ? ProcessSignal::Reload : ProcessSignal::Stop;
}

} // namespace lavenderarch
