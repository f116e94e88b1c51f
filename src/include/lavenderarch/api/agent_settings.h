// Settings of lavender-agent.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

#include <vector>

namespace lavenderarch {

/// Value type; the schema share/schemas/agent.schema.json describes each field.
struct AgentSettings
{
    EndpointId endpoint;
    ServiceName service;
    Address listen;
    Address minion;
    DataCentreName dataCentre;
    std::string region;
    std::string rack;
    int slots = 8;
    int connections = 64;
    std::vector<Address> entries;
    int threads = 160;
    bool baseline = false;
    std::string logLevel = "info";

    friend bool operator==(const AgentSettings &, const AgentSettings &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(AgentSettings, endpoint, service, listen, minion,
                                                dataCentre, region, rack, slots, connections,
                                                entries, threads, baseline, logLevel)
};

} // namespace lavenderarch
