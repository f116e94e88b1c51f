// The cell owner's view of a best-effort run.
#pragma once

#include <cstdint>
#include <string>

namespace lavenderarch {

/// A run that uses only processors that other runs leave idle.
struct BestEffortRun
{
    std::string image;
    std::int64_t milliCores = 0; ///< thousandths of a core that it uses at full pace
};

} // namespace lavenderarch
