// An order from the owner of a cell to an agent.
#pragma once

#include "lavenderarch/core/json_enum.h"
#include "lavenderarch/core/resources.h"
#include "lavenderarch/dispatch/run_key.h"

#include <optional>

namespace lavenderarch {

enum class OrderKind {
    Start,
    Stop,    ///< also rejects a start of that run that arrives later
    Describe ///< describes a run to an agent that has restarted
};

LAVENDER_JSON_ENUM(OrderKind, {{OrderKind::Start, "start"},
                               {OrderKind::Stop, "stop"},
                               {OrderKind::Describe, "describe"}})

/// Value type. `sequence` numbers the orders of one owner to an agent, from 1.
struct RunOrder
{
    std::int64_t sequence = 0;
    OrderKind kind = OrderKind::Start;
    RunKey run;
    std::string payload;
    std::string checkpoint;        ///< checkpoint to resume from; empty: none
    std::string ticket;            ///< ticket from the placement advice
    bool bestEffort = false;       ///< the run is best-effort
    std::int64_t tailTargetMs = 0; ///< of a serving run; 0: none
    std::string image;             ///< image of the task
    std::int64_t milliCores = 0;   ///< thousandths of a core that the task uses at full pace
    std::int64_t memoryMib = -1;   ///< negative: an owner of an earlier version does not state it
    std::int64_t accelerators = 0; ///< stated along with memoryMib
    /// Time in which the run may start, from the sending of the request that this order answers;
    /// negative: no limit.
    std::int64_t startWithinMs = -1;

    /// Resources that the run reserves on the minion; best-effort runs reserve no processors.
    std::optional<Resources> reserved() const
    {
        if (memoryMib < 0)
            return std::nullopt;
        return Resources(bestEffort ? 0 : milliCores, memoryMib, accelerators);
    }

    friend bool operator==(const RunOrder &, const RunOrder &) = default;
};

/// Every member has the key of its name, except that `bestEffort` has the key "fills". A missing
/// key takes the default of its member; a value of a wrong type throws Json::exception.
void to_json(Json &out, const RunOrder &order);
void from_json(const Json &in, RunOrder &order);

} // namespace lavenderarch
