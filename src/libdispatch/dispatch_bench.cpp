// Benchmark of the decisions of a cell's owner under overload: ends, arrivals and placement.
#include "lavenderarch/core/random.h"
#include "loaded_cell.h"

#include <benchmark/benchmark.h>

using namespace lavenderarch;
using lavenderarch::testing::LoadedCell;

namespace {

/// Runs that end, and jobs that arrive, in each round.
constexpr std::size_t endsPerRound = 4;
constexpr int images = 10;

/// Submits a regular job, or every fourth time a best-effort one.
void submitJob(LoadedCell &cell, RandomEngine &random)
{
    const auto spread = [&](int low, int high) {
        return low + static_cast<std::int64_t>(random() % static_cast<unsigned>(high - low + 1));
    };
    const int count = static_cast<int>(spread(2, 16));
    if (random() % 4 == 0)
        cell.submit(count, Resources(spread(2000, 6000), spread(3000, 9000), 0), -1,
                    static_cast<int>(random() % images));
    else
        cell.submit(count, Resources(spread(300, 1500), spread(600, 2000), 0));
}

std::int64_t waitingJobs(const LoadedCell &cell)
{
    std::int64_t count = 0;
    for (const auto &[id, job] : cell.owner().jobs())
        count += !isFinal(job.phase()) && job.activeRuns() == 0 ? 1 : 0;
    return count;
}

/// A round: some runs end, jobs arrive while fewer than the wanted number wait, all minions report
/// in turn, and the owner places tasks and stores the changes.
void overloadedRound(benchmark::State &state)
{
    const auto minions = static_cast<std::size_t>(state.range(0));
    const std::int64_t waiting = state.range(1);
    RandomEngine random(1);
    LoadedCell cell(static_cast<int>(minions));
    for (std::size_t task = 0; task < minions; ++task)
        cell.submit(2, Resources(2500, 6000, 0), 9, static_cast<int>(random() % images));
    cell.settle();
    while (waitingJobs(cell) < waiting) {
        for (std::size_t index = 0; index < minions; ++index)
            submitJob(cell, random);
        cell.settle();
    }
    const PlacementCounts before = cell.owner().placementCounts();
    std::size_t reporting = 0;
    for (auto _ : state) {
        state.PauseTiming();
        cell.advance(Milliseconds(20));
        const bool arrival = waitingJobs(cell) < waiting;
        std::vector<std::pair<std::size_t, RunKey>> ending;
        const std::size_t first = random();
        for (std::size_t run = 0; run < endsPerRound; ++run)
            ending.push_back(cell.activeRun(first + run * 37));
        state.ResumeTiming();
        for (const auto &run : ending)
            cell.endRun(run);
        if (arrival)
            submitJob(cell, random);
        for (std::size_t report = 0; report < minions / 50; ++report)
            cell.report(reporting++ % minions);
        cell.settle();
    }
    const PlacementCounts &after = cell.owner().placementCounts();
    const auto perRound = [&](std::int64_t amount) {
        return benchmark::Counter(static_cast<double>(amount), benchmark::Counter::kAvgIterations);
    };
    state.counters["minions"] = perRound(after.minions - before.minions);
    state.counters["jobs"] = perRound(after.jobs - before.jobs);
    state.counters["placed"] = perRound(after.placed - before.placed);
    state.counters["waiting"] = static_cast<double>(waitingJobs(cell));
}
BENCHMARK(overloadedRound)
    ->ArgNames({"minions", "waiting"})
    ->ArgsProduct({{53, 300}, {10, 100, 400, 1000}})
    ->Iterations(200)
    ->Unit(benchmark::kMicrosecond);

/// A commit without changes beside jobs that have ended and whose rows are kept for a while.
void commitBesideSettledJobs(benchmark::State &state)
{
    LoadedCell cell(1);
    cell.settle();
    for (std::int64_t job = 0; job < state.range(0); ++job) {
        const RowWrite write = cells::settledJobWrite("svc", "job-" + std::to_string(job));
        cell.owner().applyJobRow({write.key, write.value, 1, false}, cell.now());
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(cell.owner().prepareCommit(cell.now()));
}
BENCHMARK(commitBesideSettledJobs)->ArgName("settled")->Arg(100)->Arg(1000)->Arg(10'000);

} // namespace

BENCHMARK_MAIN();
