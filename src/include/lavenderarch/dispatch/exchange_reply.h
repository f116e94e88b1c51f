// The owner's reply to an agent.
#pragma once

#include "lavenderarch/dispatch/minion_incarnation.h"
#include "lavenderarch/dispatch/run_order.h"
#include "lavenderarch/dispatch/tail_weight.h"

#include <vector>

namespace lavenderarch {

/// Value type.
struct ExchangeReply
{
    std::int64_t epoch = 0; ///< fencing token of the owner
    MinionIncarnation life; ///< incarnation of the minion that `orders` and `endsSeen` refer to
    /// Duration of the minion's lease, counted from when the request was sent; 0: none.
    std::int64_t grantMs = 0;
    std::int64_t endsSeen = 0; ///< ends up to this number are stored; the minion may discard them
    std::vector<RunKey> absentSeen;  ///< Absent ends that are stored
    std::vector<RunOrder> orders;    ///< all orders that the agent has not confirmed, by sequence
    std::vector<TailWeight> weights; ///< interference weights of the images on the minion

    friend bool operator==(const ExchangeReply &, const ExchangeReply &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ExchangeReply, epoch, life, grantMs, endsSeen,
                                                absentSeen, orders, weights)
};

} // namespace lavenderarch
