// Stored record of an accepted manifest.
#pragma once

#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

struct ManifestRecord
{
    std::int64_t version = 0;
    std::string writeId;
    std::string operatorName;
    std::string cause;
    TimePoint acceptedAt;
    Json document;

    friend bool operator==(const ManifestRecord &, const ManifestRecord &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ManifestRecord, version, writeId, operatorName, cause,
                                   acceptedAt, document)
};

} // namespace lavenderarch
