// HTTP client based on Boost.Beast. A connection is used by one thread at a time and returned to
// the pool after a complete response; idle connections expire well before the keep-alive timeout of
// the peer.
#include "lavenderarch/http/http_client.h"

#include "client_socket.h"
#include "lavenderarch/core/clock.h"
#include "message_parsing.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <mutex>
#include <vector>

namespace lavenderarch {
namespace {

namespace beast = boost::beast;

/// Timeout for opening a connection; the latency to a peer in the other region is 12 ms.
constexpr Milliseconds connectTimeout{400};
constexpr std::size_t maxIdlePerAddress = 128;
/// Initial size of the buffer of a response.
constexpr std::size_t readChunkBytes = std::size_t{16} * 1024;

using SocketPtr = std::unique_ptr<ClientSocket>;
using ResponseParser = beast::http::response_parser<beast::http::string_body>;

struct IdleConnection
{
    SocketPtr socket;
    BootTime expires;
};

std::string formatRequestHead(const Address &address, const HttpRequest &request)
{
    std::string text = request.method + " " + request.path;
    if (!request.query.empty())
        text += "?" + request.query;
    text += " HTTP/1.1\r\nHost: " + address.text() + "\r\nConnection: keep-alive\r\n";
    for (const auto &[name, value] : request.headers.fields())
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    return text;
}

HttpResponse responseOf(ResponseParser &parser)
{
    auto message = parser.release();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    response.headers = headersOf(message);
    response.body = std::move(message.body());
    return response;
}

/// Reads the body after its head has been read.
Status readBody(ClientSocket &socket, beast::flat_buffer &buffer, ResponseParser &parser)
{
    // Without a length, a connection that breaks off would look like the end of the response.
    if (parser.need_eof())
        return makeError(ErrorKind::CorruptedAnswer, "response has no Content-Length");
    ClientSocket::Error error;
    beast::http::read(socket, buffer, parser, error);
    if (!error)
        return absl::OkStatus();
    const auto length = parser.content_length();
    return makeError(ErrorKind::CorruptedAnswer,
                     "response ended after " + std::to_string(parser.get().body().size()) + " of " +
                         (length ? std::to_string(*length) : "unknown") +
                         " bytes: " + error.message());
}

} // namespace

struct HttpClient::Impl
{
    explicit Impl(const HttpClientOptions &clientOptions)
        : options(clientOptions)
    {
    }

    const HttpClientOptions options;
    std::mutex mutex;
    std::map<Address, std::vector<IdleConnection>> idle; // guarded by mutex

    SocketPtr takeIdle(const Address &address)
    {
        const BootTime now = BootClock::now();
        const std::scoped_lock lock(mutex);
        auto &connections = idle[address];
        while (!connections.empty()) {
            IdleConnection candidate = std::move(connections.back());
            connections.pop_back();
            if (candidate.expires > now)
                return std::move(candidate.socket);
            connections.clear();
        }
        return nullptr;
    }

    void putIdle(const Address &address, SocketPtr socket)
    {
        const BootTime expires = BootClock::now() + options.maxIdleTime;
        const std::scoped_lock lock(mutex);
        auto &connections = idle[address];
        if (connections.size() < maxIdlePerAddress)
            connections.push_back({std::move(socket), expires});
    }

    StatusOr<HttpResponse> send(const Address &address, const HttpRequest &request,
                                BootTime deadline, SocketPtr socket)
    {
        socket->setDeadline(deadline);
        if (const auto error = socket->send(formatRequestHead(address, request) + request.body))
            return makeError(ErrorKind::OutcomeUnknown, "cannot send the request to " +
                                                            address.text() + ": " +
                                                            error.message());
        beast::flat_buffer buffer(maxBufferBytes);
        buffer.reserve(readChunkBytes);
        ResponseParser parser;
        limitParser(parser, options.maxBodyBytes);
        ClientSocket::Error error;
        beast::http::read_header(*socket, buffer, parser, error);
        if (error == beast::http::error::body_limit)
            return makeError(ErrorKind::CorruptedAnswer, "the response is too large");
        if (error)
            return makeError(ErrorKind::OutcomeUnknown,
                             "no response from " + address.text() + ": " + error.message());
        if (hasTooManyFields(parser.get()))
            return makeError(ErrorKind::CorruptedAnswer, "response has too many header fields");
        if (Status read = readBody(*socket, buffer, parser); !read.ok())
            return read;
        const bool reusable = parser.keep_alive() && buffer.size() == 0;
        HttpResponse response = responseOf(parser);
        if (reusable)
            putIdle(address, std::move(socket));
        return response;
    }
};

HttpClient::HttpClient(const HttpClientOptions &options)
    : m_impl(std::make_unique<Impl>(options))
{
}

HttpClient::~HttpClient() = default;

StatusOr<HttpResponse> HttpClient::exchange(const Address &address, const HttpRequest &request,
                                            TimePoint deadline, Resend resend)
{
    return exchange(address, request, BootClock::now() + (deadline - SystemClock().now()), resend);
}

StatusOr<HttpResponse> HttpClient::exchange(const Address &address, const HttpRequest &request,
                                            BootTime deadline, Resend resend)
{
    SocketPtr pooled = m_impl->takeIdle(address);
    if (pooled != nullptr) {
        auto response = m_impl->send(address, request, deadline, std::move(pooled));
        const bool expired = BootClock::now() >= deadline;
        if (response.ok() || resend == Resend::Never || expired)
            return response;
    }
    SocketPtr fresh =
        ClientSocket::connect(address, std::min(deadline, BootClock::now() + connectTimeout));
    if (fresh == nullptr)
        return makeError(ErrorKind::Unreachable, "cannot connect to " + address.text());
    return m_impl->send(address, request, deadline, std::move(fresh));
}

} // namespace lavenderarch
