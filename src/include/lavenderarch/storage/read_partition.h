// Reads a large partition page by page.
#pragma once

#include "lavenderarch/storage/row_store.h"

#include <algorithm>
#include <stop_token>
#include <thread>

namespace lavenderarch {

/// Timeout of one attempt to read a page.
inline constexpr Milliseconds pageTimeout{3000};
/// Delay before a failed page is read again.
inline constexpr Milliseconds pageRetryPause{150};

/// All rows of the partition. A page that cannot be read is read again until `deadline`, with twice
/// the timeout if only a part of it came; the rows read before it are kept. Returns the last error
/// when the deadline passes or a stop is requested.
template <RowStore Store>
StatusOr<RowRange> readPartition(Store &store, const std::string &table,
                                 const std::string &partition, BootTime deadline,
                                 const std::stop_token &stop)
{
    RowRange all;
    std::string from;
    bool first = true;
    Milliseconds timeout = pageTimeout;
    while (true) {
        auto page =
            store.readPage(table, partition, from, std::min(deadline, BootClock::now() + timeout));
        if (!page.ok()) {
            if (kindOf(page.status()) == ErrorKind::CorruptedAnswer)
                timeout *= 2;
            if (stop.stop_requested() || BootClock::now() + pageRetryPause >= deadline)
                return page.status();
            std::this_thread::sleep_for(pageRetryPause);
            continue;
        }
        // Pages are read at different versions. Following continues from the oldest, so that no
        // change between two pages is missed.
        all.version = first ? page->range.version : std::min(all.version, page->range.version);
        first = false;
        for (Row &row : page->range.rows) {
            if (all.rows.empty() || all.rows.back().key != row.key)
                all.rows.push_back(std::move(row));
        }
        if (!page->more || page->range.rows.empty())
            return all;
        if (stop.stop_requested() || BootClock::now() >= deadline)
            return makeError(ErrorKind::StoreUnavailable, "not all pages were read in time");
        from = all.rows.back().key.key; // inclusive: the row is returned again and skipped
    }
}

} // namespace lavenderarch
