// Timeouts, pauses and other limits of an agent's threads.
#pragma once

#include "lavenderarch/core/time.h"

namespace lavenderarch {

/// Longest time for which the owner holds a poll open. A lease is renewed at least this often.
inline constexpr std::int64_t pollWaitMs = 900;
/// Time beyond pollWaitMs in which the owner's reply must arrive.
inline constexpr Milliseconds pollSlack{900};
/// Timeout of a message that the owner answers at once.
inline constexpr Milliseconds reportTimeout{900};
/// Delay after a failed message before the owner is looked up again.
inline constexpr Milliseconds lookupPause{200};
/// Timeout of one read of the owner row.
inline constexpr Milliseconds lookupTimeout{700};
/// Longest time for which the minion holds a renewal open while no run ends. Its load figures
/// cover half a second.
inline constexpr std::int64_t renewWaitMs = 400;
/// Time beyond renewWaitMs in which the minion's answer must arrive.
inline constexpr Milliseconds renewSlack{800};
inline constexpr Milliseconds renewRetryPause{120};
/// Longest wait for the owner to confirm ended runs before the minion is polled again.
inline constexpr Milliseconds confirmationWait{150};
/// Time between two pace decisions. Load changes within seconds; one figure covers half a second.
inline constexpr Milliseconds paceInterval{250};
/// Timeout of one attempt of an order to the minion, which runs on the same VM.
inline constexpr Milliseconds orderAttemptTimeout{400};
inline constexpr Milliseconds orderRetryPause{60};
/// A run whose start is still unanswered after this time is stopped instead.
inline constexpr Milliseconds startTimeout{3000};
/// A minion checks in every second or two. After this time without one that is newer, the sequence
/// of the newest is not the minion's own.
inline constexpr Milliseconds factsSilence{8000};
/// A start that has not been sent is refused if the minion does not answer for this time.
inline constexpr Milliseconds unreachableWait{500};
/// Number of orders sent to the minion concurrently.
inline constexpr int orderThreads = 4;

} // namespace lavenderarch
