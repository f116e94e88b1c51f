// Number of log lines of this process.
#pragma once

#include <cstdint>

namespace lavenderarch {

/// Value type. Counts the lines for LogTarget::StandardOutput since the start of the process.
struct LogCounts
{
    std::int64_t buffered = 0; ///< written, or about to be
    std::int64_t dropped = 0;  ///< the buffer was full

    friend bool operator==(const LogCounts &, const LogCounts &) = default;
};

/// Thread-safe.
LogCounts logCounts();

} // namespace lavenderarch
