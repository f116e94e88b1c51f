// Reads the job states of several cells into a JobStateCache.
#pragma once

#include "lavenderarch/dispatch/cell_tables.h"
#include "lavenderarch/runtime/job_state_cache.h"
#include "lavenderarch/runtime/reloaded_table.h"
#include "lavenderarch/storage/row_store.h"

#include <iterator>
#include <optional>
#include <set>

namespace lavenderarch {

/// Timeout of reading one partition of the state table.
inline constexpr Milliseconds stateReadTimeout{3000};

/// Replaces the contents of `states` by the stored states of the jobs of `cells`, unless a
/// partition cannot be read. Each cell has its states in two partitions: the state at acceptance in
/// its inbox, later ones in its own.
template <RowStore Store>
StatusOr<ReloadedTable> reloadJobStates(Store &store, const std::set<std::string> &cells,
                                        JobStateCache &states)
{
    std::vector<Row> rows;
    std::optional<std::int64_t> version;
    for (const std::string &cell : cells) {
        for (const std::string &partition : {cells::inbox(cell), cell}) {
            auto part =
                store.read(cells::stateTable, partition, BootClock::now() + stateReadTimeout);
            if (!part.ok())
                return part.status();
            // Following continues from the oldest version, so that no change between two reads is
            // missed.
            version = std::min(version.value_or(part->version), part->version);
            std::move(part->rows.begin(), part->rows.end(), std::back_inserter(rows));
        }
    }
    states.replace(rows, version.value_or(0));
    return ReloadedTable{version.value_or(0), rows.size()};
}

} // namespace lavenderarch
