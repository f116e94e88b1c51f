// Properties that a minion reports when it registers.
#pragma once

#include "lavenderarch/core/json_types.h"
#include "lavenderarch/dispatch/minion_incarnation.h"

#include <vector>

namespace lavenderarch {

/// Value type.
struct MinionFacts
{
    MinionIncarnation life;
    std::string service;
    std::string dataCentre;
    std::vector<std::string> labels; ///< kind and rack
    Resources capacity;
    bool draining = false;
    std::int64_t remainingMs = 0; ///< while draining: minimum time until the minion goes away

    friend bool operator==(const MinionFacts &, const MinionFacts &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(MinionFacts, life, service, dataCentre, labels,
                                                capacity, draining, remainingMs)
};

} // namespace lavenderarch
