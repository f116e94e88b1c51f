// Settings of a data centre in the manifest.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

struct DataCentreSettings
{
    DataCentreName name;
    std::string region;

    friend bool operator==(const DataCentreSettings &, const DataCentreSettings &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(DataCentreSettings, name, region)
};

} // namespace lavenderarch
