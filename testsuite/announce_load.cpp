// Load generator that announces synthetic endpoints to one entry and prints the result as one JSON
// line. Endpoint count and duration are capped; intended for entries on loopback.
#include "lavenderarch/core/clock.h"
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/protocol/announce_reply.h"
#include "lavenderarch/protocol/announce_request.h"
#include "lavenderarch/protocol/rpc_channel.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

using namespace lavenderarch;

namespace {

constexpr int maxEndpoints = 6000;
constexpr int maxSeconds = 60;
constexpr int threadCount = 8;
constexpr Milliseconds interval{400};
constexpr Milliseconds lifetime{5000};

Announcement announcementOf(int number, std::int64_t sequence)
{
    Announcement announcement;
    announcement.endpoint = EndpointId("made-up-" + std::to_string(number));
    announcement.service = ServiceName("capacity");
    announcement.dataCentre = DataCentreName("nottingham");
    announcement.region = "east-mids";
    announcement.rack = "r" + std::to_string(number / 3);
    announcement.address = Address("127.0.0.1", 9);
    announcement.incarnation = 1;
    announcement.sequence = sequence;
    announcement.slots = 8;
    announcement.manifestVersion = 1;
    announcement.deadline = SystemClock().now() + lifetime;
    return announcement;
}

} // namespace

/// Arguments: endpoints seconds entry
int main(int argc, char **argv)
{
    constexpr int expectedArguments = 4;
    if (argc != expectedArguments) {
        std::cerr << "usage: announce_load ENDPOINTS SECONDS ENTRY\n";
        return 2;
    }
    const int endpoints = std::min(maxEndpoints, std::atoi(argv[1]));
    const int seconds = std::min(maxSeconds, std::atoi(argv[2]));
    const auto entry = Address::parse(argv[3]);
    if (!entry.ok()) {
        std::cerr << messageOf(entry.status()) << "\n";
        return 2;
    }
    HttpClient client;
    std::atomic<std::int64_t> sent{0};
    std::atomic<std::int64_t> failed{0};
    const TimePoint start = SystemClock().now();
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&, thread] {
            RpcChannel channel(client);
            for (std::int64_t round = 0; round * interval < std::chrono::seconds(seconds);
                 ++round) {
                std::this_thread::sleep_until(start + round * interval);
                for (int number = thread; number < endpoints; number += threadCount) {
                    const AnnounceRequest request{announcementOf(number, round + 1), ""};
                    const auto reply = channel.call<AnnounceReply>(
                        *entry, "announce", request, SystemClock().now() + std::chrono::seconds(2));
                    ++(reply.ok() ? sent : failed);
                }
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const AnnounceRequest example{announcementOf(endpoints, 1), ""};
    const double elapsed = static_cast<double>((SystemClock().now() - start).count()) / 1000;
    std::cout << Json{{"sent", sent.load()},
                      {"failed", failed.load()},
                      {"seconds", elapsed},
                      {"bodyBytes", Json(example).dump().size()}}
                     .dump()
              << std::endl;
    return 0;
}
