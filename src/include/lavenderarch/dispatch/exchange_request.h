// An agent's message to the owner of its cell: a snapshot or what changed since it, unconfirmed
// ends, and a long poll for orders.
#pragma once

#include "lavenderarch/dispatch/minion_facts.h"
#include "lavenderarch/dispatch/run_end.h"
#include "lavenderarch/dispatch/run_report.h"

#include <algorithm>

namespace lavenderarch {

/// Largest name of an agent, and of a session.
inline constexpr std::size_t maxAgentNameBytes = 200;

/// Value type. The snapshot (facts, runs, ends, orderSeen) is consistent. `number` increases with
/// each message of a session, so that an older snapshot that arrives late is discarded.
///
/// A brief message builds on a snapshot of the same session. It has no facts, and `runs` holds only
/// the runs whose phase has changed, so a run that it does not mention has not ended. It leaves out
/// the ends that an earlier message on the same snapshot has brought to the owner. To an owner that
/// ignores `brief` it is a message without a minion's list, which changes no run.
struct ExchangeRequest
{
    std::string agent;   ///< name of the agent's VM
    std::string session; ///< identifies one lifetime of the agent's process
    std::int64_t number = 0;
    std::int64_t epoch = 0;  ///< highest epoch that the agent has seen
    bool registered = false; ///< a minion has registered, so `facts` is valid; false when brief
    /// `runs` reflects the minion's own list under `epoch`; false when brief.
    bool listed = false;
    bool reachable = false; ///< the minion answered the agent's last request
    MinionFacts facts;
    std::vector<RunReport> runs;
    std::vector<RunEnd> ends;   ///< ends that the owner has not confirmed; all if not brief
    std::int64_t orderSeen = 0; ///< highest order that the snapshot reflects
    /// Maximum time for which the owner may delay the reply until it has an order.
    std::int64_t waitMs = 0;
    bool brief = false;
    MinionIncarnation incarnation; ///< of a brief message: what its runs and ends refer to
    std::int64_t snapshot = 0;     ///< of a brief message: number of the snapshot it builds on

    /// waitMs within the limits of what an owner grants.
    std::int64_t boundedWaitMs() const
    {
        constexpr std::int64_t maxWaitMs = 60'000;
        return std::clamp<std::int64_t>(waitMs, 0, maxWaitMs);
    }

    friend bool operator==(const ExchangeRequest &, const ExchangeRequest &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ExchangeRequest, agent, session, number, epoch,
                                                registered, listed, reachable, facts, runs, ends,
                                                orderSeen, waitMs, brief, incarnation, snapshot)
};

/// The request as JSON without the members that have their default value, also of its ends. Reading
/// it restores them.
std::string requestText(const ExchangeRequest &request);
/// Reads a request. A missing key takes the default of its member; an unknown one is ignored.
StatusOr<ExchangeRequest> readRequest(std::string_view text);

} // namespace lavenderarch
