// A worker as the platform lists it.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

namespace lavenderarch {

struct WorkerInfo
{
    WorkerId id;
    DataCentreName dataCentre;
    std::string rack;
    Resources capacity;

    friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(WorkerInfo, id, dataCentre, rack, capacity)
};

} // namespace lavenderarch
