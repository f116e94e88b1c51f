// Settings of lavender-standin.
#pragma once

#include "lavenderarch/core/json_types.h"
#include "lavenderarch/storage/worker_info.h"

#include <vector>

namespace lavenderarch {

/// Settings of a simulated minion.
struct MinionSettings
{
    std::string name;
    Address listen;
    int slots = 8;
    int connections = 64;

    friend bool operator==(const MinionSettings &, const MinionSettings &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(MinionSettings, name, listen, slots, connections)
};

/// Settings of a simulated worker.
struct SimulatedWorkerSettings
{
    WorkerId id;
    DataCentreName dataCentre;
    std::string rack;
    std::int64_t milliCores = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const SimulatedWorkerSettings &,
                           const SimulatedWorkerSettings &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(SimulatedWorkerSettings, id, dataCentre, rack,
                                                milliCores, memoryMib, accelerators)
};

/// Value type. The fields are described in share/schemas/standin.schema.json.
struct StandinSettings
{
    Address listen;
    std::vector<MinionSettings> minions;
    std::vector<SimulatedWorkerSettings> workers;
    std::string logLevel = "info";

    friend bool operator==(const StandinSettings &, const StandinSettings &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(StandinSettings, listen, minions, workers, logLevel)
};

} // namespace lavenderarch
