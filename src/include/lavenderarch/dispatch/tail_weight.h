// Headroom that one best-effort image takes from one serving image.
#pragma once

#include "lavenderarch/core/json.h"

namespace lavenderarch {

/// Value type. Pairs the images of a best-effort and of a serving task.
struct TailWeight
{
    std::string filling; ///< image of the best-effort task
    std::string serving; ///< image of the serving task
    /// Headroom lost when the best-effort image uses all processors of the minion; the loss is
    /// proportional to the share in use.
    double weight = 0;

    friend bool operator==(const TailWeight &, const TailWeight &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(TailWeight, filling, serving, weight)
};

} // namespace lavenderarch
