// An agent's message to the owner of its cell: a snapshot, unconfirmed ends, and a long poll for
// orders.
#pragma once

#include "lavenderarch/dispatch/minion_facts.h"
#include "lavenderarch/dispatch/run_end.h"
#include "lavenderarch/dispatch/run_report.h"

namespace lavenderarch {

/// Value type. The snapshot (facts, runs, ends, orderSeen) is consistent. `number` increases with
/// each message of a session, so that an older snapshot that arrives late is discarded.
struct ExchangeRequest
{
    std::string agent;   ///< name of the agent's VM
    std::string session; ///< identifies one lifetime of the agent's process
    std::int64_t number = 0;
    std::int64_t epoch = 0;  ///< highest epoch that the agent has seen
    bool registered = false; ///< a minion has registered, so `facts` is valid
    bool listed = false;     ///< `runs` reflects the minion's own list under `epoch`
    bool reachable = false;  ///< the minion answered the agent's last request
    MinionFacts facts;
    std::vector<RunReport> runs;
    std::vector<RunEnd> ends;   ///< all ends that the owner has not confirmed
    std::int64_t orderSeen = 0; ///< highest order that the snapshot reflects
    /// Maximum time for which the owner may delay the reply until it has an order.
    std::int64_t waitMs = 0;

    friend bool operator==(const ExchangeRequest &, const ExchangeRequest &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ExchangeRequest, agent, session, number, epoch,
                                                registered, listed, reachable, facts, runs, ends,
                                                orderSeen, waitMs)
};

} // namespace lavenderarch
