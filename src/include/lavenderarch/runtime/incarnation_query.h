// Asks a minion which of its incarnations it is.
#pragma once

#include "lavenderarch/runtime/agent_times.h"
#include "lavenderarch/runtime/minion_control.h"

namespace lavenderarch {

/// The listing of the minion with the id of `incarnation`, whose birth need not be true.
///
/// The first call has the lowest fencing token: the one of a false birth would raise the fence of
/// the minion above those of all later calls. A minion that has seen calls of a former session of
/// the agent refuses it.
template <MinionControl Minion>
StatusOr<MinionListing> askForIncarnation(Minion &minion, const MinionIncarnation &incarnation,
                                          std::int64_t epoch)
{
    const auto ask = [&](const ControlContext &context) {
        return minion.renew(context, std::nullopt, 0, 0, BootClock::now() + orderAttemptTimeout);
    };
    auto listing = ask({{incarnation.id, 0}, 0});
    if (!listing.ok() && kindOf(listing.status()) == ErrorKind::StaleCommand)
        listing = ask({incarnation, epoch});
    return listing;
}

} // namespace lavenderarch
