// Processor time of this process and of its threads.
#pragma once

namespace lavenderarch {

/// Processor time in seconds that the calling thread has used.
double threadCpuSeconds();
/// Processor time in seconds that all threads of the process have used.
double processCpuSeconds();

} // namespace lavenderarch
