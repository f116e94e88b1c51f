// Result of a table transaction.
#pragma once

#include "lavenderarch/core/json.h"

#include <string>
#include <vector>

namespace lavenderarch {

/// When not committed, `conflicts` lists the keys whose condition did not hold.
struct CommitResult
{
    bool committed = false;
    std::vector<std::string> conflicts;

    friend bool operator==(const CommitResult &, const CommitResult &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(CommitResult, committed, conflicts)
};

} // namespace lavenderarch
