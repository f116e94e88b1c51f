// JSON serialization of the core value types: identifiers and addresses as strings, times as
// milliseconds since the Unix epoch.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/json.h"
#include "lavenderarch/core/resources.h"
#include "lavenderarch/core/strong_id.h"
#include "lavenderarch/core/time.h"

namespace nlohmann {

template <typename Tag>
struct adl_serializer<lavenderarch::StrongId<Tag>>
{
    static void to_json(json &out, const lavenderarch::StrongId<Tag> &id) { out = id.text(); }
    static void from_json(const json &in, lavenderarch::StrongId<Tag> &id)
    {
        id = lavenderarch::StrongId<Tag>(in.get<std::string>());
    }
};

template <>
struct adl_serializer<lavenderarch::TimePoint>
{
    static void to_json(json &out, const lavenderarch::TimePoint &time)
    {
        out = lavenderarch::toEpochMs(time);
    }
    static void from_json(const json &in, lavenderarch::TimePoint &time)
    {
        time = lavenderarch::fromEpochMs(in.get<std::int64_t>());
    }
};

template <>
struct adl_serializer<lavenderarch::Resources>
{
    static void to_json(json &out, const lavenderarch::Resources &resources)
    {
        out = {{"milliCores", resources.milliCores()},
               {"memoryMib", resources.memoryMib()},
               {"accelerators", resources.accelerators()}};
    }
    static void from_json(const json &in, lavenderarch::Resources &resources)
    {
        resources = lavenderarch::Resources(in.at("milliCores").get<std::int64_t>(),
                                            in.at("memoryMib").get<std::int64_t>(),
                                            in.value("accelerators", std::int64_t{0}));
    }
};

template <>
struct adl_serializer<lavenderarch::Address>
{
    static void to_json(json &out, const lavenderarch::Address &address) { out = address.text(); }
    static void from_json(const json &in, lavenderarch::Address &address)
    {
        const auto parsed = lavenderarch::Address::parse(in.get<std::string>());
        if (!parsed.ok())
            throw json::other_error::create(501, lavenderarch::messageOf(parsed.status()), &in);
        address = *parsed;
    }
};

} // namespace nlohmann
