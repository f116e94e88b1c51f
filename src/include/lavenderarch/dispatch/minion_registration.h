// Decides which check-ins are those of the agent's own minion.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/minion_facts.h"
#include "lavenderarch/dispatch/minion_listing.h"

#include <map>
#include <optional>
#include <vector>

namespace lavenderarch {

/// A check-in may come from another writer. One of an incarnation that is not registered counts
/// only once the minion has answered a call that names this incarnation: the first one with a birth
/// in the future would else stay registered, as all true ones are older. Not thread-safe.
class MinionRegistration
{
public:
    struct CheckIn
    {
        MinionFacts facts;
        std::int64_t sequence = 0;
        BootTime receivedAt{};
    };

    /// Keeps a check-in of an incarnation until it is confirmed, replaced by a newer one of the
    /// same incarnation or expires.
    void offer(const MinionFacts &facts, std::int64_t sequence, BootTime now);
    /// The incarnations to ask the minion for.
    std::vector<MinionIncarnation> unconfirmed(BootTime now);
    /// The minion has answered a call that named the id of `incarnation`: forgets the check-in of
    /// this incarnation, and returns it if the listing confirms it.
    std::optional<CheckIn> confirm(const MinionIncarnation &incarnation,
                                   const MinionListing &listing);

private:
    std::map<MinionIncarnation, CheckIn> m_offered;
};

} // namespace lavenderarch
