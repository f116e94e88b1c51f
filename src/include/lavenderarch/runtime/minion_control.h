// The MinionControl concept: the calls that an agent makes to its minion.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/dispatch/fencing_token.h"
#include "lavenderarch/dispatch/minion_answer.h"
#include "lavenderarch/dispatch/minion_incarnation.h"
#include "lavenderarch/dispatch/minion_listing.h"
#include "lavenderarch/dispatch/run_ledger.h"
#include "lavenderarch/dispatch/run_order.h"

#include <concepts>

namespace lavenderarch {

/// Sent with each call: the minion incarnation that it is meant for, and the owner's epoch.
struct ControlContext
{
    MinionIncarnation incarnation;
    std::int64_t epoch = 0;

    std::int64_t fencingToken() const { return lavenderarch::fencingToken(incarnation, epoch); }

    friend bool operator==(const ControlContext &, const ControlContext &) = default;
};

/// Thread-safe. start, stop and pace never fail with an error: a missing answer is reported as
/// OrderAnswer::Unknown. renew extends the lease when one is given, confirms ended runs up to the
/// first number, and blocks until another run ends, for at most the second number in milliseconds.
template <typename T>
concept MinionControl = requires(T minion, const ControlContext &context, const RunOrder &order,
                                 const RunKey &run, const RunLedger::Lease &lease,
                                 const std::optional<RunLedger::Lease> &maybeLease,
                                 std::int64_t number, int percent, BootTime deadline)
{
    {
        minion.start(context, order, lease, deadline)
        } -> std::same_as<MinionAnswer>;
    {
        minion.stop(context, run, deadline)
        } -> std::same_as<MinionAnswer>;
    {
        minion.pace(context, run, percent, deadline)
        } -> std::same_as<MinionAnswer>;
    {
        minion.renew(context, maybeLease, number, number, deadline)
        } -> std::same_as<StatusOr<MinionListing>>;
};

} // namespace lavenderarch
