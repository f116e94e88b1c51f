// How strongly one image, while it fills, takes headroom from a serving image.
#pragma once

#include "lavenderarch/core/json.h"

namespace lavenderarch {

/// Value type.
struct TailWeight
{
    std::string filling;
    std::string serving;
    /// Headroom lost per whole minion's processors that the filling image uses.
    double weight = 0;

    friend bool operator==(const TailWeight &, const TailWeight &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(TailWeight, filling, serving, weight)
};

} // namespace lavenderarch
