// One connection of an EventHttpServer, and the registry of all of them.
#pragma once

#include "http_refusals.h"
#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/http/event_http_server.h"

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <set>

namespace lavenderarch {

class EventConnection;

/// What the connections of one port have in common.
struct ConnectionEndpoint
{
    HttpPortOptions options;
    EventHttpServer::Handler handler;
};

/// Owns the open connections and counts what they use. Used by the server's thread only, except for
/// stopKeepAlive(), keepAlive() and activeRequests(). Outlives its connections.
class ConnectionRegistry
{
public:
    using ConnectionPtr = std::shared_ptr<EventConnection>;

    explicit ConnectionRegistry(Metrics &metrics)
        : m_refusals(metrics)
    {
    }

    void add(ConnectionPtr connection) { m_connections.insert(std::move(connection)); }
    void remove(const ConnectionPtr &connection) { m_connections.erase(connection); }

    void closeAll();
    void closeExpired(BootTime now);
    /// Closes the connection that has waited longest for a request.
    void closeIdlest();
    void shortenIdleTimes();

    /// Sets memory aside for a body; false if the bodies of all requests would exceed the limit.
    bool reserve(std::size_t bytes);
    void release(std::size_t bytes) { m_reservedBytes -= bytes; }

    void countRefusal(HttpLimit limit, const Status &error) { m_refusals.add(limit, error); }

    void requestBegan() { ++m_active; }
    void requestEnded() { --m_active; }
    int activeRequests() const { return m_active.load(); }
    void stopKeepAlive() { m_keepAlive = false; }
    bool keepAlive() const { return m_keepAlive.load(); }

private:
    HttpRefusals m_refusals;
    std::set<ConnectionPtr> m_connections;
    std::size_t m_reservedBytes = 0; ///< at most maxReservedBytes
    std::atomic<int> m_active{0};
    std::atomic<bool> m_keepAlive{true};
};

/// Reads a request, hands it to the handler, writes the response and starts again. In the registry
/// from open() to close(). Used by the server's thread only.
class EventConnection : public std::enable_shared_from_this<EventConnection>
{
public:
    /// `server` owns the registry and the context of the socket.
    EventConnection(boost::asio::ip::tcp::socket socket,
                    std::shared_ptr<const ConnectionEndpoint> endpoint,
                    ConnectionRegistry &registry, std::weak_ptr<void> server);
    ~EventConnection();
    EventConnection(const EventConnection &) = delete;
    EventConnection &operator=(const EventConnection &) = delete;

    void open();
    void close();

    bool idle() const { return m_idle; }
    /// When the connection is closed unless its state changes; never while a handler works.
    BootTime deadline() const { return m_deadline; }
    void setDeadline(BootTime deadline) { m_deadline = deadline; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Error = boost::system::error_code;

    void awaitRequest();
    void readHead();
    void headRead(const Error &error);
    void readBody();
    void bodyRead(const Error &error);
    void handle();
    /// What the handler answers the current request with.
    EventHttpServer::Respond makeRespond(bool reusable);
    /// Answers a request that is not handed to the handler, and closes the connection.
    void reject(HttpLimit limit, const Status &error);
    /// Rejects the request if `error` is that it exceeds a limit; false for any other error.
    bool rejectTooLarge(const Error &error);
    void respond(const HttpResponse &response, bool reusable);
    /// Discards up to `remaining` bytes that the peer still sends, so that it can read the response
    /// before a reset.
    void discardInput(std::size_t remaining);
    void releaseBody();

    boost::asio::ip::tcp::socket m_socket;
    const std::shared_ptr<const ConnectionEndpoint> m_endpoint;
    ConnectionRegistry &m_registry;
    const std::weak_ptr<void> m_server;
    bool m_idle = false;
    BootTime m_deadline = BootTime::max();
    std::size_t m_reservedBytes = 0;    ///< for the body of the current request
    boost::beast::flat_buffer m_buffer; ///< input that is not parsed yet; at most maxBufferBytes
    std::optional<Parser> m_parser;     ///< set while a request is read
    std::string m_output;               ///< response that is being written
};

} // namespace lavenderarch
