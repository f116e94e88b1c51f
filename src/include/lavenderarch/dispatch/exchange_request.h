// An agent's message to the owner of its cell: a snapshot, new ends, and a wait for orders.
#pragma once

#include "lavenderarch/dispatch/minion_facts.h"
#include "lavenderarch/dispatch/run_end.h"
#include "lavenderarch/dispatch/run_report.h"

namespace lavenderarch {

/// Value type. The snapshot (facts, runs, ends, orderSeen) is of one moment; `number` rises with
/// each message of a session, so that an older snapshot that arrives late is dropped.
struct ExchangeRequest
{
    std::string agent;   ///< VM of the agent
    std::string session; ///< one lifetime of the agent's process
    std::int64_t number = 0;
    std::int64_t epoch = 0;  ///< highest epoch that the agent has seen
    bool registered = false; ///< facts are valid: a minion has registered
    bool listed = false;     ///< runs is the minion's own list under this epoch
    bool reachable = false;  ///< the minion answered the agent's last call
    MinionFacts facts;
    std::vector<RunReport> runs;
    std::vector<RunEnd> ends;   ///< all that the owner has not confirmed
    std::int64_t orderSeen = 0; ///< highest order that the snapshot reflects
    std::int64_t waitMs = 0;    ///< how long the owner may hold the answer for an order

    friend bool operator==(const ExchangeRequest &, const ExchangeRequest &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ExchangeRequest, agent, session, number, epoch,
                                                registered, listed, reachable, facts, runs, ends,
                                                orderSeen, waitMs)
};

} // namespace lavenderarch
