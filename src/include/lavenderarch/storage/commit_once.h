// Commits a transaction whose answer may be lost, exactly once.
#pragma once

#include "lavenderarch/core/clock.h"
#include "lavenderarch/storage/commit_marker.h"
#include "lavenderarch/storage/table_service.h"

#include <thread>

namespace lavenderarch {

inline constexpr Milliseconds commitRetryPause{20};

/// Commits `change` and resolves lost answers: the same transaction is sent again, and a conflict
/// is read back; when the witness row holds our value, the first write had taken effect.
/// Errors: OutcomeUnknown when a write was sent and the service could not be asked before
/// `deadline`; StoreUnavailable when nothing was ever applied.
template <TableService Table>
StatusOr<CommitResult> commitOnce(Table &table, const TableTransaction &change,
                                  const CommitMarker &witness, TimePoint deadline)
{
    bool maybeApplied = false;
    while (true) {
        auto result = table.commit(change, deadline);
        if (result.ok() && (result->committed || !maybeApplied))
            return result;
        if (result.ok()) {
            const auto row = table.read(witness.key, deadline);
            if (row.ok())
                return row->value == witness.value ? CommitResult{true, {}} : *result;
        }
        const bool ambiguous =
            !result.ok() && kindOf(result.status()) != ErrorKind::StoreUnavailable;
        maybeApplied = maybeApplied || ambiguous;
        if (SystemClock().now() + commitRetryPause >= deadline)
            break;
        std::this_thread::sleep_for(commitRetryPause);
    }
    if (maybeApplied)
        return makeError(ErrorKind::OutcomeUnknown, "the table service did not confirm the write");
    return makeError(ErrorKind::StoreUnavailable, "the table service did not take the write");
}

} // namespace lavenderarch
