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
    /// Incarnation of the minion that `orders` and `endsSeen` refer to.
    MinionIncarnation incarnation;
    /// Duration of the minion's lease, counted from when the request was sent; 0: none.
    std::int64_t grantMs = 0;
    std::int64_t endsSeen = 0; ///< ends up to this number are stored; the minion may discard them
    std::vector<RunKey> absentSeen; ///< Absent ends that are stored
    std::vector<RunOrder> orders;   ///< all orders that the agent has not confirmed, by sequence
    /// Number of the agent's snapshot that brief messages may build on; 0: the next message has to
    /// be a snapshot. Missing from an owner that does not read brief messages.
    std::int64_t snapshotSeen = 0;
    std::vector<TailWeight> weights; ///< weights of the tail model for the images on the minion

    friend bool operator==(const ExchangeReply &, const ExchangeReply &) = default;
};

/// Every member has the key of its name, except that `incarnation` has the key "life". A missing
/// key takes the default of its member; a value of a wrong type throws Json::exception.
void to_json(Json &out, const ExchangeReply &reply);
void from_json(const Json &in, ExchangeReply &reply);

/// The reply as JSON without the members that have their default value, also of its orders. Reading
/// it restores them.
std::string replyText(const ExchangeReply &reply);

} // namespace lavenderarch
