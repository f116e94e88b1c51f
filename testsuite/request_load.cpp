// Open-loop load generator for entries: Poisson arrivals at a given rate. Response times count from
// the scheduled arrival, so queueing in the generator is included. Prints the result as one JSON
// line. Rate, threads and duration are capped; intended for entries on loopback.
#include "lavenderarch/core/clock.h"
#include "lavenderarch/core/random.h"
#include "lavenderarch/http/header_names.h"
#include "lavenderarch/http/http_client.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

using namespace lavenderarch;

namespace {

constexpr int maxThreads = 800;
constexpr double maxRate = 20'000;
constexpr int maxSeconds = 120;

struct LoadOptions
{
    std::vector<Address> entries;
    std::string path;
    double rate = 100;
    int seconds = 5;
    int timeoutMs = 1000;
    int threads = 200;
    std::uint64_t seed = 1;
};

struct LoadResult
{
    std::mutex mutex;
    // One entry per request; a request without a response in time counts as the timeout.
    std::vector<double> responseTimeMs;
    std::int64_t inTime = 0;
    std::int64_t notRun = 0;
    std::int64_t unknown = 0;
    std::int64_t late = 0;
};

std::vector<TimePoint> arrivals(const LoadOptions &options)
{
    RandomEngine random(options.seed);
    std::exponential_distribution<double> interarrivalMs(options.rate / 1000);
    std::vector<TimePoint> times;
    const TimePoint start = SystemClock().now() + Milliseconds(200);
    for (double at = interarrivalMs(random); at < options.seconds * 1000.0;
         at += interarrivalMs(random))
        times.push_back(start + Milliseconds(static_cast<std::int64_t>(at)));
    return times;
}

void sendRequest(HttpClient &client, const LoadOptions &options, std::size_t number,
                 TimePoint scheduledAt, LoadResult &totals)
{
    HttpRequest request{"POST", options.path, "", {}, "x"};
    const auto question = request.path.find('?');
    if (question != std::string::npos) {
        request.query = request.path.substr(question + 1);
        request.path.resize(question);
    }
    const TimePoint deadline = scheduledAt + Milliseconds(options.timeoutMs);
    request.headers.set(header::deadline, std::to_string(toEpochMs(deadline)));
    const Address &entry = options.entries[number % options.entries.size()];
    const auto response = client.exchange(entry, request, deadline + std::chrono::seconds(2));
    const double elapsed = static_cast<double>((SystemClock().now() - scheduledAt).count());
    const Status error = response.ok() ? errorFromResponse(*response) : response.status();
    const std::scoped_lock lock(totals.mutex);
    const bool inTime = error.ok() && elapsed <= options.timeoutMs;
    totals.responseTimeMs.push_back(inTime ? elapsed : options.timeoutMs);
    if (inTime)
        ++totals.inTime;
    else if (error.ok())
        ++totals.late;
    else if (response.ok() && response->headers.find(header::outcome) == "not-run")
        ++totals.notRun;
    else
        ++totals.unknown;
}

double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void run(const LoadOptions &options)
{
    const auto times = arrivals(options);
    HttpClient client;
    LoadResult totals;
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options.threads));
    for (int index = 0; index < options.threads; ++index) {
        threads.emplace_back([&] {
            for (std::size_t number = next++; number < times.size(); number = next++) {
                std::this_thread::sleep_until(times[number]);
                sendRequest(client, options, number, times[number], totals);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    std::sort(totals.responseTimeMs.begin(), totals.responseTimeMs.end());
    const Json result = {{"sent", times.size()},
                         {"inTime", totals.inTime},
                         {"goodputPerSecond", static_cast<double>(totals.inTime) / options.seconds},
                         {"notRun", totals.notRun},
                         {"unknown", totals.unknown},
                         {"late", totals.late},
                         {"p50Ms", percentile(totals.responseTimeMs, 0.5)},
                         {"p99Ms", percentile(totals.responseTimeMs, 0.99)},
                         {"p999Ms", percentile(totals.responseTimeMs, 0.999)}};
    std::cout << result.dump() << std::endl;
}

} // namespace

/// Arguments: path rate seconds timeoutMs threads seed entry [entry ...]
int main(int argc, char **argv)
{
    constexpr int fixedArguments = 7;
    if (argc <= fixedArguments) {
        std::cerr << "usage: request_load PATH RATE SECONDS TIMEOUT_MS THREADS SEED ENTRY...\n";
        return 2;
    }
    LoadOptions options;
    options.path = argv[1];
    options.rate = std::min(maxRate, std::atof(argv[2]));
    options.seconds = std::min(maxSeconds, std::atoi(argv[3]));
    options.timeoutMs = std::atoi(argv[4]);
    options.threads = std::min(maxThreads, std::atoi(argv[5]));
    options.seed = static_cast<std::uint64_t>(std::atoll(argv[6]));
    for (int index = fixedArguments; index < argc; ++index) {
        const auto entry = Address::parse(argv[index]);
        if (!entry.ok()) {
            std::cerr << messageOf(entry.status()) << "\n";
            return 2;
        }
        options.entries.push_back(*entry);
    }
    run(options);
    return 0;
}
