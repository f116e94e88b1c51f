// Headroom that one best-effort image takes from one serving image.
#pragma once

#include "lavenderarch/core/json.h"

namespace lavenderarch {

/// Value type. Pairs the images of a best-effort and of a serving task.
struct TailWeight
{
    std::string bestEffort; ///< image of the best-effort task
    std::string serving;    ///< image of the serving task
    /// Headroom lost when the best-effort image uses all processors of the minion; the loss is
    /// proportional to the share in use.
    double weight = 0;

    friend bool operator==(const TailWeight &, const TailWeight &) = default;
};

/// Every member has the key of its name, except that `bestEffort` has the key "filling". A missing
/// key takes the default of its member; a value of a wrong type throws Json::exception.
void to_json(Json &out, const TailWeight &weight);
void from_json(const Json &in, TailWeight &weight);

} // namespace lavenderarch
