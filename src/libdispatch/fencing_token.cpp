// Composes fencing tokens.
#include "lavenderarch/dispatch/fencing_token.h"

#include <algorithm>

namespace lavenderarch {
namespace {

constexpr int epochBits = 11;
constexpr std::int64_t maxToken = (std::int64_t{1} << 53) - 1;
constexpr std::int64_t maxBornMs = maxToken >> epochBits;

} // namespace

std::int64_t fencingToken(const MinionIncarnation &incarnation, std::int64_t epoch)
{
    const std::int64_t born = std::clamp<std::int64_t>(incarnation.bornMs, 0, maxBornMs);
    return std::min((born << epochBits) + std::clamp<std::int64_t>(epoch, 0, maxToken), maxToken);
}

} // namespace lavenderarch
