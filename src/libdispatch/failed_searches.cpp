// Bookkeeping of failed searches for a minion.
#include "lavenderarch/dispatch/failed_searches.h"

#include <algorithm>

namespace lavenderarch {
namespace {

/// Failures kept for each group, which bounds the time of a look-up.
constexpr std::size_t maxFailures = 32;

/// True when a failure of `failed` means that `search` fails as well. A job without an active run
/// has more minions to choose from.
bool implies(const FailedSearches::Search &failed, const FailedSearches::Search &search)
{
    return failed.demand.fitsInto(search.demand) && failed.count <= search.count &&
           (failed.idleJob || !search.idleJob);
}

} // namespace

int FailedSearches::groupOf(const std::string &service, const StepSpec &step)
{
    // The image matters to best-effort tasks only, through the tail model.
    const auto [group, added] =
        m_groups.try_emplace({service, step.requiredLabel,
                              step.bestEffort ? step.image : std::string(), step.bestEffort},
                             static_cast<int>(m_failures.size()));
    if (added)
        m_failures.emplace_back();
    return group->second;
}

void FailedSearches::record(const Search &search, std::int64_t roomVersion)
{
    auto &failures = m_failures[static_cast<std::size_t>(search.group)];
    std::erase_if(failures,
                  [&](const Failure &failure) { return implies(search, failure.search); });
    if (failures.size() >= maxFailures)
        failures.erase(failures.begin());
    failures.push_back({search, roomVersion});
}

std::int64_t FailedSearches::failedAt(const Search &search) const
{
    std::int64_t newest = 0;
    for (const Failure &failure : m_failures[static_cast<std::size_t>(search.group)]) {
        if (failure.roomVersion > newest && implies(failure.search, search))
            newest = failure.roomVersion;
    }
    return newest;
}

} // namespace lavenderarch
