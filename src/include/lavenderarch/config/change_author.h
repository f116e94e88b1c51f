// Operator, reason and time of a change, for the audit trail.
#pragma once

#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

struct ChangeAuthor
{
    std::string operatorName;
    std::string cause;
    TimePoint at;

    friend bool operator==(const ChangeAuthor &, const ChangeAuthor &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ChangeAuthor, operatorName, cause, at)
};

} // namespace lavenderarch
