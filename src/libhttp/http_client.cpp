// HTTP client based on CivetWeb. A connection is used by one thread at a time and returned to the
// pool after a complete response; idle connections expire well before the keep-alive timeout of
// the peer.
#include "lavenderarch/http/http_client.h"

#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/core/clock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <civetweb.h>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace lavenderarch {
namespace {

/// Timeout for opening a connection; the latency to a peer in the other region is 12 ms.
constexpr Milliseconds connectTimeout{400};
constexpr std::size_t maxIdlePerAddress = 128;
constexpr std::size_t readChunkBytes = std::size_t{16} * 1024;
constexpr std::size_t errorTextBytes = 256;

struct CloseConnection
{
    void operator()(mg_connection *connection) const { mg_close_connection(connection); }
};
using ConnectionPtr = std::unique_ptr<mg_connection, CloseConnection>;

struct IdleConnection
{
    ConnectionPtr connection;
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

int remainingMs(BootTime deadline)
{
    const auto remaining = (deadline - BootClock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(remaining, 1, 60'000));
}

/// Probes whether `address` accepts connections within `timeout`, by opening and closing
/// one: connect in CivetWeb waits ten seconds for a peer that does not respond.
bool acceptsConnection(const Address &address, Milliseconds timeout)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port());
    if (inet_pton(AF_INET, address.host().c_str(), &target.sin_addr) != 1)
        return true; // CivetWeb reports the invalid address
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return false;
    bool open = ::connect(socket, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0;
    if (!open && errno == EINPROGRESS) {
        pollfd pollTarget{socket, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        open = ::poll(&pollTarget, 1, static_cast<int>(timeout.count())) == 1 &&
               ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    ::close(socket);
    return open;
}

StatusOr<std::string> readResponseBody(mg_connection *connection, long long contentLength)
{
    std::string body;
    std::array<char, readChunkBytes> chunk;
    while (body.size() < static_cast<std::size_t>(contentLength)) {
        const std::size_t chunkSize =
            std::min(chunk.size(), static_cast<std::size_t>(contentLength) - body.size());
        const int count = mg_read(connection, chunk.data(), chunkSize);
        if (count <= 0)
            return makeError(ErrorKind::CorruptedAnswer,
                             "response ended after " + std::to_string(body.size()) + " of " +
                                 std::to_string(contentLength) + " bytes");
        body.append(chunk.data(), static_cast<std::size_t>(count));
    }
    return body;
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

} // namespace

struct HttpClient::Impl
{
    explicit Impl(Milliseconds idleTime)
        : maxIdleTime(idleTime)
    {
    }

    const Milliseconds maxIdleTime;
    std::mutex mutex;
    std::map<Address, std::vector<IdleConnection>> idle; // guarded by mutex

    ConnectionPtr takeIdle(const Address &address)
    {
        const BootTime now = BootClock::now();
        const std::scoped_lock lock(mutex);
        auto &connections = idle[address];
        while (!connections.empty()) {
            IdleConnection candidate = std::move(connections.back());
            connections.pop_back();
            if (candidate.expires > now)
                return std::move(candidate.connection);
            connections.clear();
        }
        return nullptr;
    }

    void putIdle(const Address &address, ConnectionPtr connection)
    {
        const BootTime expires = BootClock::now() + maxIdleTime;
        const std::scoped_lock lock(mutex);
        auto &connections = idle[address];
        if (connections.size() < maxIdlePerAddress)
            connections.push_back({std::move(connection), expires});
    }

    static ConnectionPtr connect(const Address &address, BootTime deadline)
    {
        if (!acceptsConnection(address,
                               std::min(connectTimeout, Milliseconds(remainingMs(deadline)))))
            return nullptr;
        std::array<char, errorTextBytes> error{};
        return ConnectionPtr(mg_connect_client(address.host().c_str(), address.port(), 0,
                                               error.data(), error.size()));
    }

    StatusOr<HttpResponse> send(const Address &address, const HttpRequest &request,
                                BootTime deadline, ConnectionPtr connection)
    {
        const std::string text = formatRequestHead(address, request) + request.body;
        const int written = mg_write(connection.get(), text.data(), text.size());
        if (written != static_cast<int>(text.size()))
            return makeError(ErrorKind::OutcomeUnknown, "connection closed while sending");
        std::array<char, errorTextBytes> error{};
        if (mg_get_response(connection.get(), error.data(), error.size(), remainingMs(deadline)) <
            0)
            return makeError(ErrorKind::OutcomeUnknown,
                             "no response from " + address.text() + ": " + error.data());
        const mg_response_info *info = mg_get_response_info(connection.get());
        HttpResponse response;
        response.status = info->status_code;
        for (int index = 0; index < info->num_headers; ++index)
            response.headers.set(info->http_headers[index].name, info->http_headers[index].value);
        const long long contentLength = hasNoBody(response.status) ? 0 : info->content_length;
        if (contentLength < 0)
            return makeError(ErrorKind::CorruptedAnswer, "response has no Content-Length");
        auto body = readResponseBody(connection.get(), contentLength);
        if (!body.ok())
            return body.status();
        response.body = *std::move(body);
        if (response.headers.find("Connection").value_or("keep-alive") != "close")
            putIdle(address, std::move(connection));
        return response;
    }
};

HttpClient::HttpClient(Milliseconds maxIdleTime)
    : m_impl(std::make_unique<Impl>(maxIdleTime))
{
    mg_init_library(0);
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
    ConnectionPtr pooled = m_impl->takeIdle(address);
    if (pooled != nullptr) {
        auto response = m_impl->send(address, request, deadline, std::move(pooled));
        const bool expired = BootClock::now() >= deadline;
        if (response.ok() || resend == Resend::Never || expired)
            return response;
    }
    ConnectionPtr fresh = Impl::connect(address, deadline);
    if (fresh == nullptr)
        return makeError(ErrorKind::Unreachable, "cannot connect to " + address.text());
    return m_impl->send(address, request, deadline, std::move(fresh));
}

} // namespace lavenderarch
