// The RowStore concept: a partitioned, transactional store with a change feed.
#pragma once

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/storage/row_commit.h"
#include "lavenderarch/storage/row_page.h"
#include "lavenderarch/storage/row_range.h"
#include "lavenderarch/storage/row_transaction.h"

#include <concepts>

namespace lavenderarch {

/// Thread-safe access to rows.
/// commit: StoreUnavailable when nothing was or will be applied; OutcomeUnknown when the write may
/// be applied, even later. read: all rows of a partition of a table; each page is a consistent
/// snapshot. readPage: the first page of the rows whose key is `from` or greater. readOne: the row,
/// version 0 when absent. changes: the changes of a table after `version`. follow: the same, but
/// waits until `deadline` for a change. Both: NotFound when the changes since `version` are no
/// longer kept and the rows must be read again. Reads: CorruptedAnswer when a part of the answer
/// has come until `deadline`, so that a longer timeout may help.
template <typename T>
concept RowStore = requires(T store, const std::string &text, const RowKey &key,
                            const RowTransaction &change, std::int64_t version, BootTime deadline)
{
    {
        store.commit(change, deadline)
        } -> std::same_as<StatusOr<RowCommit>>;
    {
        store.read(text, text, deadline)
        } -> std::same_as<StatusOr<RowRange>>;
    {
        store.readPage(text, text, text, deadline)
        } -> std::same_as<StatusOr<RowPage>>;
    {
        store.readOne(key, deadline)
        } -> std::same_as<StatusOr<Row>>;
    {
        store.changes(text, version, deadline)
        } -> std::same_as<StatusOr<RowRange>>;
    {
        store.follow(text, version, deadline)
        } -> std::same_as<StatusOr<RowRange>>;
};

} // namespace lavenderarch
