// Properties that a minion reports when it registers.
#pragma once

#include "lavenderarch/core/json_types.h"
#include "lavenderarch/dispatch/minion_incarnation.h"

#include <vector>

namespace lavenderarch {

/// Value type.
struct MinionFacts
{
    MinionIncarnation incarnation;
    std::string service;
    std::string dataCentre;
    std::vector<std::string> labels; ///< kind and rack
    Resources capacity;
    bool draining = false;
    std::int64_t remainingMs = 0; ///< while draining: minimum time until the minion shuts down

    friend bool operator==(const MinionFacts &, const MinionFacts &) = default;
};

/// OK when sums of the facts of many minions fit into their types; else an error that names the
/// first field that is out of range.
Status validateFacts(const MinionFacts &facts);

/// Every member has the key of its name, except that `incarnation` has the key "life". A missing
/// key takes the default of its member; a value of a wrong type throws Json::exception.
void to_json(Json &out, const MinionFacts &facts);
void from_json(const Json &in, MinionFacts &facts);

} // namespace lavenderarch
