// Tests of the HTTP client's deadline with peers that go silent without closing the connection.
#include "lavenderarch/http/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace lavenderarch;
using boost::asio::ip::tcp;

namespace {

/// Far longer than any deadline of these tests, and shorter than the timeouts of HTTP libraries.
constexpr std::chrono::seconds patience{10};

/// Accepts one connection, sends `response` after the head of the first request and goes silent:
/// the connection stays open until destruction.
class SilentPeer
{
public:
    explicit SilentPeer(std::string response)
        : m_thread([this, response = std::move(response)] {
            Error error;
            m_acceptor.accept(m_socket, error);
            boost::asio::streambuf request;
            if (!error && !response.empty())
                boost::asio::read_until(m_socket, request, "\r\n\r\n", error);
            if (!error && !response.empty())
                boost::asio::write(m_socket, boost::asio::buffer(response), error);
        })
    {
    }
    ~SilentPeer() { m_thread.join(); }
    SilentPeer(const SilentPeer &) = delete;
    SilentPeer &operator=(const SilentPeer &) = delete;

    Address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    /// Closes the connection, which ends any call of a client.
    void hangUp()
    {
        Error ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    }

private:
    using Error = boost::system::error_code;

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket m_socket{m_context};
    std::thread m_thread; // declared last, as it uses the others
};

/// The error of a call with a deadline of 200 ms; nothing when the call outlasts `patience`.
std::optional<ErrorKind> errorOfCall(const std::string &response, const std::string &body = "")
{
    SilentPeer peer(response);
    HttpClient client;
    auto call = std::async(std::launch::async, [&] {
        return client.exchange(peer.address(), {"POST", "/", "", {}, body},
                               BootClock::now() + Milliseconds(200));
    });
    const bool ended = call.wait_for(patience) == std::future_status::ready;
    peer.hangUp();
    const auto outcome = call.get();
    REQUIRE_FALSE(outcome.ok());
    return ended ? std::optional(kindOf(outcome.status())) : std::nullopt;
}

const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n";

} // namespace

// The deadline held for the head of a response only: a connection that went silent within the body
// kept its caller for a minute, and the owner of a cell started nothing meanwhile.
TEST_CASE("a call ends at its deadline when the connection goes silent within the body")
{
    CHECK(errorOfCall(head + std::string(1400, 'x')) == ErrorKind::CorruptedAnswer);
    CHECK(errorOfCall(head) == ErrorKind::CorruptedAnswer);
}

TEST_CASE("a call ends at its deadline when the connection goes silent within the head")
{
    CHECK(errorOfCall(head.substr(0, 20)) == ErrorKind::OutcomeUnknown);
    CHECK(errorOfCall("") == ErrorKind::OutcomeUnknown);
}

TEST_CASE("a call ends at its deadline when the peer does not read the request")
{
    CHECK(errorOfCall("", std::string(8'000'000, 'x')) == ErrorKind::OutcomeUnknown);
}

// Guards against input that the parser keeps until it is complete.
TEST_CASE("a response whose chunk headers or trailers have no end is an error")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    // The peer goes silent after these, so that a client without a limit waits for its deadline.
    const std::string endless(40'000, 'b');
    for (const std::string &body : {"2;a=" + endless, "2\r\n{}\r\n0\r\na: " + endless}) {
        SilentPeer peer(chunked + body);
        const auto response = HttpClient().exchange(
            peer.address(), {"GET", "/", "", {}, ""},
            BootClock::now() + std::chrono::duration_cast<Milliseconds>(2 * patience));
        peer.hangUp();
        CHECK(kindOf(response.status()) == ErrorKind::CorruptedAnswer);
        CHECK(messageOf(response.status()).find("overflow") != std::string::npos);
    }
}

TEST_CASE("a response with too many header fields is an error")
{
    std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    for (int number = 0; number < 200; ++number)
        response += "f" + std::to_string(number) + ":\r\n";
    CHECK(errorOfCall(response + "\r\n") == ErrorKind::CorruptedAnswer);
}

TEST_CASE("a response that exceeds the limit of the client is an error")
{
    SilentPeer peer("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n");
    const auto response = HttpClient({.maxBodyBytes = 1000})
                              .exchange(peer.address(), {"GET", "/", "", {}, ""},
                                        BootClock::now() + Milliseconds(10'000));
    peer.hangUp();
    CHECK(kindOf(response.status()) == ErrorKind::CorruptedAnswer);
}

// Guards against memory reserved for a length that is only announced.
TEST_CASE("a response that announces more than a client accepts is an error")
{
    CHECK(errorOfCall("HTTP/1.1 200 OK\r\nContent-Length: 999999999999999\r\n\r\n") ==
          ErrorKind::CorruptedAnswer);
    CHECK(errorOfCall("HTTP/1.1 200 OK\r\n\r\nabc") == ErrorKind::CorruptedAnswer);
}
