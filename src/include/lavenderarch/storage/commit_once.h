// Exactly-once commit of a transaction whose response may be lost.
#pragma once

#include "lavenderarch/core/clock.h"
#include "lavenderarch/storage/commit_marker.h"
#include "lavenderarch/storage/table_service.h"

#include <thread>

namespace lavenderarch {

inline constexpr Milliseconds commitRetryDelay{20};

/// Commits `change` and retries it when the response is lost. When a retry conflicts, the marker
/// row is read: if it holds the marker value, the earlier attempt had taken effect.
/// Errors: OutcomeUnknown when an attempt may have been applied and the service could not be
/// read before `deadline`; StoreUnavailable when no attempt was applied.
template <TableService Table>
StatusOr<CommitResult> commitOnce(Table &table, const TableTransaction &change,
                                  const CommitMarker &marker, TimePoint deadline)
{
    bool maybeApplied = false;
    while (true) {
        auto result = table.commit(change, deadline);
        if (result.ok() && (result->committed || !maybeApplied))
            return result;
        if (result.ok()) {
            const auto row = table.read(marker.key, deadline);
            if (row.ok())
                return row->value == marker.value ? CommitResult{true, {}} : *result;
        }
        const bool ambiguous =
            !result.ok() && kindOf(result.status()) != ErrorKind::StoreUnavailable;
        maybeApplied = maybeApplied || ambiguous;
        if (SystemClock().now() + commitRetryDelay >= deadline)
            break;
        std::this_thread::sleep_for(commitRetryDelay);
    }
    if (maybeApplied)
        return makeError(ErrorKind::OutcomeUnknown, "the table service did not confirm the write");
    return makeError(ErrorKind::StoreUnavailable,
                     "the table service is unavailable; nothing was written");
}

} // namespace lavenderarch
