// The TableService concept: interface to the transactional table service of the platform.
#pragma once

#include "lavenderarch/core/status.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/storage/commit_result.h"
#include "lavenderarch/storage/table_row.h"
#include "lavenderarch/storage/table_transaction.h"

#include <concepts>
#include <vector>

namespace lavenderarch {

/// Thread-safe access to the table service.
/// read: the row, with version 0 when absent. scan: all rows whose key starts with the prefix, by
/// key. commit: errors are StoreUnavailable (not applied) and OutcomeUnknown (maybe applied).
template <typename T>
concept TableService = requires(T table, const std::string &text, const TableTransaction &change,
                                TimePoint deadline)
{
    {
        table.read(text, deadline)
        } -> std::same_as<StatusOr<TableRow>>;
    {
        table.scan(text, deadline)
        } -> std::same_as<StatusOr<std::vector<TableRow>>>;
    {
        table.commit(change, deadline)
        } -> std::same_as<StatusOr<CommitResult>>;
};

} // namespace lavenderarch
