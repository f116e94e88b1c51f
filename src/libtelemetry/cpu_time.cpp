// Processor time from the POSIX CPU-time clocks.
#include "lavenderarch/telemetry/cpu_time.h"

#include <ctime>

namespace lavenderarch {
namespace {

double readSeconds(clockid_t clock)
{
    timespec time{};
    if (clock_gettime(clock, &time) != 0)
        return 0; // only for a clock that the system does not have
    constexpr double secondsPerNanosecond = 1e-9;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * secondsPerNanosecond;
}

} // namespace

double threadCpuSeconds()
{
    return readSeconds(CLOCK_THREAD_CPUTIME_ID);
}

double processCpuSeconds()
{
    return readSeconds(CLOCK_PROCESS_CPUTIME_ID);
}

} // namespace lavenderarch
