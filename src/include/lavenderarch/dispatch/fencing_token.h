// The fencing token of the calls to a minion.
#pragma once

#include "lavenderarch/dispatch/minion_incarnation.h"

namespace lavenderarch {

/// Orders calls to minions first by the incarnation that they are meant for, then by the epoch of
/// the owner. A minion refuses calls with a lower token than the highest it has seen. So once an
/// incarnation has received a call that is meant for it, it refuses all that were meant for former
/// incarnations of its id, which calls name only by the id.
///
/// Epochs above 2^11 reach into the part of the birth: incarnations must then be further apart than
/// epoch / 2^11 ms, so that the token of the later one is the higher one. The token is below 2^53,
/// which JSON numbers hold exactly, while births are before the year 2109.
std::int64_t fencingToken(const MinionIncarnation &incarnation, std::int64_t epoch);

} // namespace lavenderarch
