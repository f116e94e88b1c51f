// Reads a cell that was taken over and rebuilds its dispatcher.
#pragma once

#include "lavenderarch/core/clock.h"
#include "lavenderarch/dispatch/cell_dispatcher.h"
#include "lavenderarch/runtime/cell_rows.h"
#include "lavenderarch/telemetry/log.h"
#include "lavenderarch/telemetry/metrics.h"

#include <numeric>
#include <optional>

namespace lavenderarch {

/// Timeout of reading the rows of a cell. Another owner would read them no faster, unless this
/// process is cut off from the store.
inline constexpr Milliseconds cellLoadTimeout{10'000};

/// A dispatcher as of the stored rows, and from where to follow the inbox.
struct CellLoad
{
    std::unique_ptr<CellDispatcher> dispatcher;
    std::int64_t inboxVersion = 0;
    BootTime inboxTime{}; ///< all inbox changes stored by then are included
};

/// Reads the rows of `cell` and rebuilds its dispatcher, which may take seconds. Of the rows that
/// were read `ahead`, only the changes are read. Returns an error when the rows cannot be read
/// until `deadline` or a stop is requested before.
template <RowStore Store>
StatusOr<CellLoad> loadCell(Store &store, Metrics &metrics, const std::string &cell,
                            DispatchLimits limits, std::int64_t epoch,
                            std::optional<CellRows> ahead, BootTime deadline,
                            const std::stop_token &stop)
{
    const BootTime began = BootClock::now();
    const bool updated =
        ahead && updateCell(store, cell, *ahead, std::min(deadline, began + pageTimeout)).ok();
    auto rows =
        updated ? StatusOr<CellRows>(*std::move(ahead)) : readCell(store, cell, deadline, stop);
    if (!rows.ok())
        return rows.status();
    const std::int64_t inboxVersion = rows->jobs.version();
    const std::vector<Row> jobs = std::move(rows->jobs).take();
    const std::vector<Row> progress = std::move(rows->progress).take();
    const auto model = store.readOne({cells::modelTable, cell, cells::tailsKey},
                                     std::min(deadline, BootClock::now() + pageTimeout));
    const BootTime rowsRead = BootClock::now();
    CellLoad load{std::make_unique<CellDispatcher>(cell, limits, epoch), inboxVersion,
                  rows->jobsAsOf};
    load.dispatcher->load(jobs, progress, rowsRead);
    if (model.ok() && model->version != 0)
        load.dispatcher->loadTailModel(model->value);
    const BootTime rebuilt = BootClock::now();

    const auto bytesOf = [](const std::vector<Row> &table) {
        return std::accumulate(
            table.begin(), table.end(), std::size_t{0},
            [](std::size_t sum, const Row &row) { return sum + row.value.size(); });
    };
    logEvent(LogLevel::Info, "cell", "cell loaded",
             {{"cell", cell},
              {"epoch", std::to_string(epoch)},
              {"readAhead", updated ? "yes" : "no"},
              {"jobRows", std::to_string(jobs.size())},
              {"jobBytes", std::to_string(bytesOf(jobs))},
              {"progressRows", std::to_string(progress.size())},
              {"progressBytes", std::to_string(bytesOf(progress))},
              {"endedJobs", std::to_string(load.dispatcher->settledJobs())},
              {"readMs", std::to_string((rowsRead - began).count())},
              {"rebuildMs", std::to_string((rebuilt - rowsRead).count())}});
    metrics.observeSeconds("lavender_cell_load_seconds",
                           static_cast<double>((rebuilt - began).count()) / 1000);
    return load;
}

} // namespace lavenderarch
