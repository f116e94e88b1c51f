// Remembers for which demands a cell's owner has found no minion, so that the search is not
// repeated while no minion has gained room.
#pragma once

#include "lavenderarch/dispatch/step_spec.h"

#include <map>
#include <tuple>

namespace lavenderarch {

/// Room on the minions has a version, which increases whenever a minion gains room. A search that
/// failed would fail again, also for a larger demand, on all minions that have not gained room
/// since. This does not hold on a minion that keeps room for the job of the later search, as the
/// earlier one may have been turned away by that room. Not thread-safe.
class FailedSearches
{
public:
    /// What a search looked for.
    struct Search
    {
        int group = 0; ///< from groupOf()
        Resources demand;
        bool idleJob = false; ///< as in PlacementRequest
        int count = 1;        ///< tasks that have to be placed together
    };

    /// Number of the group of steps to which `step` of a job of `service` belongs: steps that
    /// differ at most in their demand as far as it matters for whether a minion may run a task.
    int groupOf(const std::string &service, const StepSpec &step);

    void record(const Search &search, std::int64_t roomVersion);
    /// Version of the room as of which `search` is known to fail; 0 when it is not known to fail.
    std::int64_t failedAt(const Search &search) const;

private:
    struct Failure
    {
        Search search;
        std::int64_t roomVersion = 0;
    };

    std::map<std::tuple<std::string, std::string, std::string, bool>, int> m_groups;
    std::vector<std::vector<Failure>> m_failures; ///< by group; no failure implies another one
};

} // namespace lavenderarch
