// Identity of one incarnation of a minion.
#pragma once

#include "lavenderarch/core/json.h"

#include <string>

namespace lavenderarch {

/// Value type. A restarted minion may keep its id, so incarnations of one id differ only in
/// `bornMs`, the time of day of the start.
struct MinionIncarnation
{
    std::string id;
    std::int64_t bornMs = 0;

    friend auto operator<=>(const MinionIncarnation &,
                            const MinionIncarnation &) = default; // NOLINT(modernize-use-nullptr)
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(MinionIncarnation, id, bornMs)
};

} // namespace lavenderarch
