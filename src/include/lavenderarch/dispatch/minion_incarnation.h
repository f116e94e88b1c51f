// One lifetime of a minion.
#pragma once

#include "lavenderarch/core/json.h"

#include <string>

namespace lavenderarch {

/// A minion may start again under the same id: only `bornMs` (time of day) tells the lives apart.
struct MinionIncarnation
{
    std::string id;
    std::int64_t bornMs = 0;

    friend auto operator<=>(const MinionIncarnation &, const MinionIncarnation &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(MinionIncarnation, id, bornMs)
};

} // namespace lavenderarch
