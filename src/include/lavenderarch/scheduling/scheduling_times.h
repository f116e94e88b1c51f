// Durations of the lease protocol between cell owners and workers.
#pragma once

#include "lavenderarch/core/time.h"

namespace lavenderarch {

/// Time after the placement during which a worker accepts the start command of a task.
inline constexpr Milliseconds startWindow{1800};
/// Duration of the lease that a start or renew command grants; the lease horizon may cut it short.
inline constexpr Milliseconds workerLease{20'000};
/// Interval at which an owner renews the lease of a running task.
inline constexpr Milliseconds renewInterval{5'000};
/// Duration of an owner's lease on its cell, which it renews in the table service.
inline constexpr Milliseconds ownerLease{10'000};
/// How far ahead of the commit leases may be granted; covers a store outage of half an hour.
inline constexpr Milliseconds leaseHorizon{35 * 60'000};

} // namespace lavenderarch
