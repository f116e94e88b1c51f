// Settings of lavender-entry.
#pragma once

#include "lavenderarch/core/identifiers.h"
#include "lavenderarch/core/json_types.h"

#include <vector>

namespace lavenderarch {

/// Value type; the schema share/schemas/entry.schema.json describes each field.
struct EntrySettings
{
    ProcessId id;
    Address listen;
    DataCentreName dataCentre;
    std::string region;
    Address store;
    std::vector<Address> peers;
    int threads = 256;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t bodyMemoryBytes = std::size_t{32} * 1024 * 1024;
    bool ownsCells = true;
    std::uint64_t seed = 0;
    bool baseline = false;
    std::string logLevel = "info";

    friend bool operator==(const EntrySettings &, const EntrySettings &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(EntrySettings, id, listen, dataCentre, region,
                                                store, peers, threads, maxBodyBytes,
                                                bodyMemoryBytes, ownsCells, seed, baseline,
                                                logLevel)
};

} // namespace lavenderarch
