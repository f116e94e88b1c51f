// An order of a cell's owner to an agent.
#pragma once

#include "lavenderarch/dispatch/run_key.h"

namespace lavenderarch {

enum class OrderKind {
    Start,
    Stop,    ///< also forbids a start of that run that may still arrive
    Describe ///< tells an agent that started anew what a run is
};

NLOHMANN_JSON_SERIALIZE_ENUM(OrderKind, {{OrderKind::Start, "start"},
                                         {OrderKind::Stop, "stop"},
                                         {OrderKind::Describe, "describe"}})

/// Value type. `sequence` orders the orders to one session of an agent, from 1.
struct RunOrder
{
    std::int64_t sequence = 0;
    OrderKind kind = OrderKind::Start;
    RunKey run;
    std::string payload;
    std::string checkpoint; ///< progress to resume from
    std::string ticket;     ///< of the placement advice
    bool fills = false;
    std::int64_t tailTargetMs = 0;
    std::string image;           ///< of the task
    std::int64_t milliCores = 0; ///< thousandths of a core that the task uses at full pace

    friend bool operator==(const RunOrder &, const RunOrder &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(RunOrder, sequence, kind, run, payload, checkpoint,
                                                ticket, fills, tailTargetMs, image, milliCores)
};

} // namespace lavenderarch
