// Keeps the newest check-in of each incarnation that the minion has not confirmed.
#include "lavenderarch/dispatch/minion_registration.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// A check-in expires after this time; the minion repeats it every second or two.
constexpr Milliseconds offerTime{10'000};
/// Incarnations kept at once; the oldest check-in gives way.
constexpr std::size_t maxOffered = 8;

} // namespace

void MinionRegistration::offer(const MinionFacts &facts, std::int64_t sequence, BootTime now)
{
    const auto known = m_offered.find(facts.incarnation);
    if (known != m_offered.end() && known->second.sequence > sequence)
        return;
    m_offered.insert_or_assign(facts.incarnation, CheckIn{facts, sequence, now});
    if (m_offered.size() > maxOffered)
        m_offered.erase(std::min_element(
            m_offered.begin(), m_offered.end(), [](const auto &left, const auto &right) {
                return left.second.receivedAt < right.second.receivedAt;
            }));
}

std::vector<MinionIncarnation> MinionRegistration::unconfirmed(BootTime now)
{
    std::erase_if(m_offered,
                  [&](const auto &entry) { return now - entry.second.receivedAt > offerTime; });
    std::vector<MinionIncarnation> incarnations;
    for (const auto &[incarnation, checkIn] : m_offered)
        incarnations.push_back(incarnation);
    return incarnations;
}

std::optional<MinionRegistration::CheckIn>
MinionRegistration::confirm(const MinionIncarnation &incarnation, const MinionListing &listing)
{
    const auto found = m_offered.find(incarnation);
    if (found == m_offered.end())
        return std::nullopt;
    const CheckIn offered = std::move(found->second);
    m_offered.erase(found);
    const bool same = listing.bornMs == 0 || listing.bornMs == incarnation.bornMs;
    return same ? std::optional(offered) : std::nullopt;
}

} // namespace lavenderarch
