// The owner's answer to an agent.
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
    MinionIncarnation life; ///< the minion's life that orders and endsSeen are meant for
    std::int64_t grantMs =
        0; ///< lease of the minion, from the moment the request was sent; 0: none
    std::int64_t endsSeen = 0; ///< ends up to this number are stored: the minion may forget them
    std::vector<RunKey> absentSeen;  ///< Absent ends that are stored
    std::vector<RunOrder> orders;    ///< all that the agent has not confirmed, in sequence
    std::vector<TailWeight> weights; ///< of the images on the minion, as learned so far

    friend bool operator==(const ExchangeReply &, const ExchangeReply &) = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(ExchangeReply, epoch, life, grantMs, endsSeen,
                                                absentSeen, orders, weights)
};

} // namespace lavenderarch
