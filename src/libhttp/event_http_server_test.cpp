// Tests of the event-driven HTTP server over loopback.
#include "lavenderarch/core/clock.h"
#include "lavenderarch/http/event_http_server.h"
#include "lavenderarch/http/header_names.h"
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/telemetry/metrics.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace lavenderarch;

namespace {

using Respond = EventHttpServer::Respond;

/// Metrics of all servers of these tests.
Metrics &testMetrics()
{
    static Metrics metrics;
    return metrics;
}

BootTime testDeadline()
{
    return BootClock::now() + Milliseconds(10'000);
}

std::unique_ptr<EventHttpServer> startServer(const Address &address, const HttpPortOptions &options,
                                             EventHttpServer::Handler handler,
                                             const EventServerLimits &limits = {})
{
    auto server = EventHttpServer::start(testMetrics(), limits);
    REQUIRE(server.ok());
    REQUIRE((*server)->listen(address, options, std::move(handler)).ok());
    return *std::move(server);
}

void answerOk(const HttpRequest &, const Respond &respond)
{
    respond({200, {}, "ok"});
}

/// A connection whose bytes are written one by one.
class RawConnection
{
public:
    explicit RawConnection(const Address &address)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port());
        inet_pton(AF_INET, address.host().c_str(), &target.sin_addr);
        m_connected =
            ::connect(m_socket, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0;
    }
    RawConnection(RawConnection &&other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
        , m_connected(other.m_connected)
    {
    }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;
    ~RawConnection()
    {
        if (m_socket >= 0)
            ::close(m_socket);
    }

    bool connected() const { return m_connected; }
    void send(const std::string &text) const
    {
        CHECK(::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(text.size()));
    }
    /// Sends `text` up to `count` times; returns the number of bytes that the server accepted
    /// before it closed the connection.
    std::size_t sendRepeatedly(const std::string &text, std::size_t count) const
    {
        std::size_t sent = 0;
        for (std::size_t turn = 0; turn < count; ++turn) {
            const ssize_t bytes = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
            if (bytes <= 0)
                break;
            sent += static_cast<std::size_t>(bytes);
        }
        return sent;
    }
    /// What the server sends until `text` is part of it or the connection ends.
    std::string receiveUntil(const std::string &text) const
    {
        std::string received;
        while (received.find(text) == std::string::npos) {
            std::array<char, 4096> chunk{};
            const ssize_t count = ::recv(m_socket, chunk.data(), chunk.size(), 0);
            if (count <= 0)
                break;
            received.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return received;
    }
    /// What the server sends until it closes the connection.
    std::string receiveAll() const { return receiveUntil("\xff never sent"); }

private:
    int m_socket;
    bool m_connected = false;
};

int threadsOfThisProcess()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("Threads:", 0) == 0)
            return std::stoi(line.substr(8));
    }
    return -1;
}

} // namespace

TEST_CASE("the event server exchanges requests and responses on a keep-alive connection")
{
    const Address address("127.0.0.1", 18191);
    HttpPortOptions options;
    options.maxBodyBytes = 100'000;
    const auto server =
        startServer(address, options, [](const HttpRequest &request, const Respond &respond) {
            respond({200, {{"X-Path", request.path}}, request.body + request.query});
        });
    HttpClient client;
    for (int round = 0; round < 3; ++round) {
        const HttpRequest request{"POST", "/v1/e%63ho", "a=b", {}, std::string(60'000, 'x')};
        const auto response = client.exchange(address, request, testDeadline());
        REQUIRE(response.ok());
        CHECK(response->body == std::string(60'000, 'x') + "a=b");
        CHECK(response->headers.find("x-path") == "/v1/echo");
    }
    const HttpRequest large{"POST", "/", "", {}, std::string(200'000, 'x')};
    const auto refused = client.exchange(address, large, testDeadline());
    REQUIRE(refused.ok());
    CHECK(refused->status == 413);
}

TEST_CASE("a response may be sent later and from another thread")
{
    const Address address("127.0.0.1", 18192);
    std::vector<std::thread> threads;
    const auto server =
        startServer(address, {}, [&](const HttpRequest &request, const Respond &respond) {
            threads.emplace_back([path = request.path, respond] {
                std::this_thread::sleep_for(Milliseconds(5));
                respond({200, {}, path});
                respond({500, {}, "a second response"});
            });
        });
    HttpClient client;
    for (int round = 0; round < 10; ++round) {
        const std::string path = "/" + std::to_string(round);
        const auto response = client.exchange(address, {"GET", path, "", {}, ""}, testDeadline());
        REQUIRE(response.ok());
        CHECK(response->body == path);
    }
    for (std::thread &thread : threads)
        thread.join();
}

// Each open connection occupied a thread of a pool, so that idle ones kept others from being
// served.
TEST_CASE("idle connections and slow senders cost no thread and delay nobody")
{
    const Address address("127.0.0.1", 18193);
    const auto server = startServer(address, {}, answerOk);
    const int threadsBefore = threadsOfThisProcess();
    std::vector<RawConnection> waiting;
    for (int index = 0; index < 300; ++index) {
        waiting.emplace_back(address);
        REQUIRE(waiting.back().connected());
        if (index % 2 == 0)
            waiting.back().send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    }
    HttpClient client;
    for (int round = 0; round < 20; ++round) {
        const auto response = client.exchange(address, {}, testDeadline());
        REQUIRE(response.ok());
        CHECK(response->status == 200);
    }
    CHECK(threadsOfThisProcess() == threadsBefore);
    waiting[100].send("cd");
    CHECK(waiting[100].receiveUntil("ok").find("200 OK") != std::string::npos);
}

TEST_CASE("requests that follow each other without a pause are answered in order")
{
    const Address address("127.0.0.1", 18194);
    const auto server =
        startServer(address, {}, [](const HttpRequest &request, const Respond &respond) {
            respond({200, {}, request.path});
        });
    const RawConnection connection(address);
    connection.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                    "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string received = connection.receiveAll();
    const auto first = received.find("\r\n\r\n/1");
    const auto second = received.find("\r\n\r\n/2");
    const auto third = received.find("\r\n\r\n/3");
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third != std::string::npos);
}

TEST_CASE("what is not HTTP, and a head without an end, are answered with 400")
{
    const Address address("127.0.0.1", 18195);
    const auto server = startServer(address, {}, answerOk);
    for (const std::string &text : {std::string("\x01\xff\n\n"), std::string("GET\r\n\r\n"),
                                    "GET /" + std::string(40'000, 'a')}) {
        const RawConnection connection(address);
        connection.send(text);
        CHECK(connection.receiveAll().rfind("HTTP/1.1 400", 0) == 0);
    }
    const RawConnection late(address);
    late.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(late.receiveAll().rfind("HTTP/1.1 200", 0) == 0);
}

// Guards against input that the parser keeps until it is complete: only heads and bodies had a
// limit, so that trailers or a chunk extension without an end filled the memory of the process.
TEST_CASE("trailers and chunk extensions have a largest size")
{
    const Address address("127.0.0.1", 18202);
    std::atomic<int> handled{0};
    const auto server = startServer(address, {}, [&](const HttpRequest &, const Respond &respond) {
        ++handled;
        respond({200, {}, "ok"});
    });
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string lump(1024, 'b');
    for (const std::string &begin : {"2\r\n{}\r\n0\r\na: " + lump, "2;a=" + lump}) {
        const RawConnection connection(address);
        connection.send(head + begin);
        // The server discards at most the size of a body, and the system buffers some MB.
        CHECK(connection.sendRepeatedly(lump, 200'000) < std::size_t{100} * 1024 * 1024);
    }
    const RawConnection refused(address);
    refused.send(head + "2\r\n{}\r\n0\r\na: " + std::string(40'000, 'b'));
    const std::string answer = refused.receiveAll();
    CHECK(answer.rfind("HTTP/1.1 413", 0) == 0);
    CHECK(answer.find("not-run") != std::string::npos);
    CHECK(handled == 0);
    CHECK(testMetrics().exposition().find("lavender_http_refused_total{limit=\"framing\"}") !=
          std::string::npos);

    const RawConnection accepted(address);
    accepted.send(head + "2;a=" + lump + "\r\n{}\r\n0\r\na: " + lump + "\r\n\r\n");
    CHECK(accepted.receiveUntil("ok").rfind("HTTP/1.1 200", 0) == 0);
    CHECK(handled == 1);
}

TEST_CASE("a request has a largest number of header fields")
{
    const Address address("127.0.0.1", 18205);
    const auto server = startServer(address, {}, answerOk);
    for (const int count : {100, 200}) {
        std::string head = "GET / HTTP/1.1\r\n";
        for (int number = 0; number < count; ++number)
            head += "f" + std::to_string(number) + ":\r\n";
        const RawConnection connection(address);
        connection.send(head + "Connection: close\r\n\r\n");
        const std::string expected = count == 100 ? "HTTP/1.1 200" : "HTTP/1.1 400";
        CHECK(connection.receiveAll().rfind(expected, 0) == 0);
    }
}

TEST_CASE("a body is asked for when the caller waits for that")
{
    const Address address("127.0.0.1", 18196);
    const auto server =
        startServer(address, {}, [](const HttpRequest &request, const Respond &respond) {
            respond({200, {}, "<" + request.body + ">"});
        });
    const RawConnection connection(address);
    connection.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                    "Content-Length: 3\r\n\r\n");
    CHECK(connection.receiveUntil("\r\n\r\n").rfind("HTTP/1.1 100", 0) == 0);
    connection.send("abc");
    CHECK(connection.receiveUntil(">").find("<abc>") != std::string::npos);
    connection.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
    CHECK(connection.receiveUntil(">").find("<def>") != std::string::npos);
}

// The exception would leave the server's thread and end the process.
TEST_CASE("a handler of the event server that throws is answered with an error")
{
    const Address address("127.0.0.1", 18197);
    const auto server =
        startServer(address, {}, [](const HttpRequest &request, const Respond &respond) {
            if (request.path == "/throw")
                throw std::runtime_error("unexpected");
            respond({200, {}, ""});
        });
    HttpClient client;
    for (int round = 0; round < 2; ++round) {
        const auto failed = client.exchange(address, {"GET", "/throw", "", {}, ""}, testDeadline());
        REQUIRE(failed.ok());
        CHECK(failed->status == 500);
        const auto response = client.exchange(address, {}, testDeadline());
        REQUIRE(response.ok());
        CHECK(response->status == 200);
    }
}

TEST_CASE("bodies that exceed the memory for them are rejected as not run")
{
    const Address address("127.0.0.1", 18198);
    const auto server = startServer(address, {}, answerOk);
    std::vector<RawConnection> large;
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n";
    for (int index = 0; index < 3; ++index) {
        large.emplace_back(address);
        large.back().send(head + "begin");
    }
    // The three bodies above fill 24 of 25 MB.
    const auto small = [&] { return HttpClient().exchange(address, {}, testDeadline()); };
    REQUIRE(small().ok());
    const RawConnection rejected(address);
    rejected.send(head);
    const std::string answer = rejected.receiveAll();
    CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(answer.find("not-run") != std::string::npos);
    large.clear();
    HttpClient client;
    const HttpRequest request{"POST", "/", "", {}, std::string(8'000'000, 'x')};
    for (int turn = 0; turn < 200; ++turn) {
        const auto response = client.exchange(address, request, testDeadline());
        if (response.ok() && response->status == 200)
            break;
        REQUIRE(turn < 199);
        std::this_thread::sleep_for(Milliseconds(5));
    }
}

// Guards against connections that use up the descriptors with which the process reaches others.
TEST_CASE("connections without a complete request make room for new ones")
{
    const Address address("127.0.0.1", 18203);
    Respond kept;
    std::atomic<bool> received{false};
    const auto server = startServer(address, {},
                                    [&](const HttpRequest &request, const Respond &respond) {
                                        if (request.path != "/slow") {
                                            respond({200, {}, "ok"});
                                            return;
                                        }
                                        kept = respond;
                                        received = true;
                                    },
                                    {.maxConnections = 10});
    const RawConnection working(address);
    working.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    while (!received)
        std::this_thread::yield();
    std::vector<RawConnection> crowd;
    for (int index = 0; index < 50; ++index) {
        crowd.emplace_back(address);
        if (index % 2 == 0)
            crowd.back().send("GET / HTTP/1.1\r\nHost");
    }
    CHECK(crowd.front().receiveAll().empty()); // closed
    const auto response = HttpClient().exchange(address, {}, testDeadline());
    REQUIRE(response.ok());
    CHECK(response->status == 200);
    // A request that may have run is never given up.
    kept({200, {}, "done"});
    CHECK(working.receiveUntil("done").rfind("HTTP/1.1 200", 0) == 0);
    CHECK(testMetrics().exposition().find("lavender_http_refused_total{limit=\"connections\"}") !=
          std::string::npos);
}

// Guards against small requests that are refused while incomplete ones hold all the memory.
TEST_CASE("incomplete requests make room for smaller ones")
{
    const Address address("127.0.0.1", 18204);
    const auto server = startServer(address, {}, answerOk, {.maxMemoryBytes = 1'000'000});
    std::vector<RawConnection> crowd;
    for (const int size : {400'000, 300'000}) {
        crowd.emplace_back(address);
        crowd.back().send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) +
                          "\r\n\r\nbegin");
    }
    for (int index = 0; index < 30; ++index) {
        crowd.emplace_back(address);
        crowd.back().send("GET / HTTP/1.1\r\nHost");
    }
    CHECK(crowd.front().receiveAll().empty()); // closed
    for (const std::size_t size : {0, 10'000}) {
        const auto response = HttpClient().exchange(
            address, {"POST", "/", "", {}, std::string(size, 'x')}, testDeadline());
        REQUIRE(response.ok());
        CHECK(response->status == 200);
    }
    const RawConnection large(address);
    large.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n");
    CHECK(large.receiveAll().rfind("HTTP/1.1 503", 0) == 0);
}

TEST_CASE("without keep-alive connections close after the next response, idle ones soon")
{
    const Address address("127.0.0.1", 18199);
    const auto server = startServer(address, {}, answerOk);
    const RawConnection used(address);
    const RawConnection idle(address);
    used.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(used.receiveUntil("ok").find("keep-alive") != std::string::npos);
    server->disableKeepAlive();
    used.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(used.receiveAll().find("Connection: close") != std::string::npos);
    CHECK(idle.receiveAll().empty());
    CHECK(server->activeRequests() == 0);
}

TEST_CASE("a response after the server's end has no effect")
{
    const Address address("127.0.0.1", 18200);
    Respond kept;
    std::atomic<bool> received{false};
    auto server = startServer(address, {}, [&](const HttpRequest &, const Respond &respond) {
        kept = respond;
        received = true;
    });
    const RawConnection connection(address);
    connection.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    while (!received)
        std::this_thread::yield();
    CHECK(server->activeRequests() == 1);
    server.reset();
    kept({200, {}, ""});
    CHECK(connection.receiveAll().empty());
}

TEST_CASE("a port in use is an error")
{
    const Address address("127.0.0.1", 18201);
    const auto server = startServer(address, {}, answerOk);
    const auto second = EventHttpServer::start(testMetrics());
    REQUIRE(second.ok());
    const Status listening = (*second)->listen(address, {}, answerOk);
    CHECK(kindOf(listening) == ErrorKind::Internal);
    CHECK(messageOf(listening).find(address.text()) != std::string::npos);
}
