// Tests of the HTTP server and client with each other over loopback.
#include "lavenderarch/core/clock.h"
#include "lavenderarch/http/header_names.h"
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/http/http_server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <thread>

using namespace lavenderarch;

namespace {

std::atomic<int> fileLookups{0};

TimePoint testDeadline()
{
    return SystemClock().now() + std::chrono::seconds(5);
}

} // namespace

/// Counts the calls by CivetWeb, which finds this definition before that of the system's library.
extern "C" int stat64(const char *path, struct stat64 *status) noexcept
{
    ++fileLookups;
    return fstatat64(AT_FDCWD, path, status, 0);
}

/// What the server at `address` answers to `text`, after which the client sends nothing more.
std::string answerTo(const Address &address, const std::string &text)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address(address.host()), address.port()});
    boost::asio::write(socket, boost::asio::buffer(text));
    socket.shutdown(tcp::socket::shutdown_send);
    boost::system::error_code ended;
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ended);
    return answer;
}

// A chunked body that broke off, or that CivetWeb cannot read, was handled as an empty one.
TEST_CASE("a request whose chunked body is not whole is not handled")
{
    const Address address("127.0.0.1", 18096);
    std::atomic<int> handled{0};
    const auto server = HttpServer::start(address, {}, [&](const HttpRequest &request) {
        ++handled;
        return HttpResponse{200, {}, "<" + request.body + ">"};
    });
    REQUIRE(server.ok());
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(answerTo(address, head + "4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n").find("<abcdef>") !=
          std::string::npos);
    CHECK(handled == 1);
    for (const char *body : {"4\r\nabcd\r\n4\r\nab", "4\r\nabcd\r\n", "4\r\nabcd\r\nzz\r\nab",
                             "4;a=b\r\nabcd\r\n0\r\n\r\n"}) {
        CAPTURE(body);
        const std::string answer = answerTo(address, head + body);
        CHECK(answer.rfind("HTTP/1.1 400", 0) == 0);
        CHECK(answer.find("not-run") != std::string::npos);
    }
    CHECK(handled == 1);
}

// The server looked for a password file at each request.
TEST_CASE("a request is answered without a look at the file system")
{
    const Address address("127.0.0.1", 18095);
    const auto server = HttpServer::start(address, {}, [](const HttpRequest &) {
        return HttpResponse{200, {}, "ok"};
    });
    REQUIRE(server.ok());
    HttpClient client;
    fileLookups = 0;
    for (const char *method : {"GET", "POST", "PUT", "DELETE"}) {
        const auto response = client.exchange(address, {method, "/a", "", {}, ""}, testDeadline());
        REQUIRE(response.ok());
        CHECK(response->status == 200);
    }
    CHECK(fileLookups.load() == 0);
}

TEST_CASE("requests and complete responses are exchanged on a keep-alive connection")
{
    const Address address("127.0.0.1", 18091);
    HttpServerOptions options;
    options.threads = 4;
    options.maxBodyBytes = 100'000;
    auto server = HttpServer::start(address, options, [](const HttpRequest &request) {
        return HttpResponse{200, {{"X-Path", request.path}}, request.body + request.query};
    });
    REQUIRE(server.ok());
    HttpClient client;
    for (int round = 0; round < 3; ++round) {
        HttpRequest request{"POST", "/v1/echo", "a=b", {}, std::string(60'000, 'x')};
        const auto response = client.exchange(address, request, testDeadline());
        REQUIRE(response.ok());
        CHECK(response->body == std::string(60'000, 'x') + "a=b");
        CHECK(response->headers.find("x-path") == "/v1/echo");
    }
    HttpRequest large{"POST", "/", "", {}, std::string(200'000, 'x')};
    const auto refused = client.exchange(address, large, testDeadline());
    if (refused.ok())
        CHECK(refused->status == 413);
}

TEST_CASE("an unreachable peer is reported as Unreachable")
{
    HttpClient client;
    const auto refused = client.exchange(Address("127.0.0.1", 18092), {}, testDeadline());
    REQUIRE_FALSE(refused.ok());
    CHECK(kindOf(refused.status()) == ErrorKind::Unreachable);
}

TEST_CASE("an error response preserves the error kind")
{
    const HttpResponse response = errorResponse(makeError(ErrorKind::Overloaded, "full"));
    CHECK(response.status == 503);
    CHECK(response.headers.find(header::outcome) == "not-run");
    CHECK(response.headers.find(header::retryAfter) == "1");
    CHECK(kindOf(errorFromResponse(response)) == ErrorKind::Overloaded);
    CHECK(errorFromResponse(HttpResponse{}).ok());
}

TEST_CASE("query parameters are decoded")
{
    const HttpRequest request{"GET", "/", "a=1&name=two%20words", {}, ""};
    CHECK(queryParameter(request, "name") == "two words");
    CHECK(queryParameter(request, "missing").empty());
}

// Guards against an answer that arrives after its deadline and is taken for that of a later
// request.
TEST_CASE("a late answer is never the answer to another request")
{
    const Address address("127.0.0.1", 18097);
    std::atomic<bool> released = false;
    HttpServerOptions options;
    options.threads = 4;
    auto server = HttpServer::start(address, options, [&](const HttpRequest &request) {
        while (request.path == "/late" && !released)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return HttpResponse{200, {}, request.path};
    });
    REQUIRE(server.ok());
    HttpClient client;
    const auto get = [&](const std::string &path, TimePoint deadline) {
        return client.exchange(address, {"GET", path, "", {}, ""}, deadline);
    };
    REQUIRE(get("/first", testDeadline()).ok());
    const auto late = get("/late", SystemClock().now() + std::chrono::milliseconds(50));
    CHECK_FALSE(late.ok());
    released = true;
    for (int round = 0; round < 20; ++round) {
        const std::string path = "/" + std::to_string(round);
        const auto response = get(path, testDeadline());
        REQUIRE(response.ok());
        CHECK(response->body == path);
    }
}

// An error that quoted a caller's bytes could not be written and ended the process.
TEST_CASE("texts that are not UTF-8 are answered with replacement characters")
{
    const HttpResponse response = errorResponse(makeError(ErrorKind::NotFound, "no path /\xff"));
    CHECK(response.status == 404);
    CHECK(response.body.find("/\xef\xbf\xbd") != std::string::npos);
}

// The exception left the server's thread and ended the process.
TEST_CASE("a handler that throws is answered with an error, and the server goes on")
{
    const Address address("127.0.0.1", 18096);
    const auto server = HttpServer::start(address, {}, [](const HttpRequest &request) {
        if (request.path == "/odd")
            throw std::out_of_range("odd");
        return HttpResponse{200, {}, "ok"};
    });
    REQUIRE(server.ok());
    HttpClient client;
    for (const auto &[path, status] : {std::pair("/odd", 500), std::pair("/good", 200)}) {
        const auto response = client.exchange(address, {"GET", path, "", {}, ""}, testDeadline());
        REQUIRE(response.ok());
        CHECK(response->status == status);
    }
}

TEST_CASE("an error response without a readable message keeps its kind")
{
    for (const char *body : {"", "\xff", "[]", "{\"error\":7}", "{\"error\":{\"message\":[1]}}"}) {
        const HttpResponse response{409, {{header::errorKind, "stale-command"}}, body};
        CHECK(kindOf(errorFromResponse(response)) == ErrorKind::StaleCommand);
    }
}
