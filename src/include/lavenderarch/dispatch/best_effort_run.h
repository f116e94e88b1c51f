// The owner's view of a run that fills.
#pragma once

#include <cstdint>
#include <string>

namespace lavenderarch {

/// A run that uses processors which other runs leave.
struct BestEffortRun
{
    std::string image;
    std::int64_t milliCores = 0; ///< thousandths of a core that it uses at full pace
};

} // namespace lavenderarch
