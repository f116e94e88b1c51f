// A claim and the version of its row.
#pragma once

#include "lavenderarch/routing/claim_record.h"

namespace lavenderarch {

/// `rowVersion` is the version in the table service; 0 when there is no row.
struct VersionedClaim
{
    ClaimRecord record;
    std::int64_t rowVersion = 0;

    friend bool operator==(const VersionedClaim &, const VersionedClaim &) = default;
};

} // namespace lavenderarch
