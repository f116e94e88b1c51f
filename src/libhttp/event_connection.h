// One connection of an EventHttpServer, and the registry of all of them.
#pragma once

#include "http_refusals.h"
#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/http/event_http_server.h"
#include "lavenderarch/http/event_server_limits.h"

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

/// Owns the open connections and limits what they use together. Used by the server's thread only,
/// except for stopKeepAlive(), keepAlive() and activeRequests(). Outlives its connections.
///
/// A connection whose request has been handed to the handler is never closed for the sake of
/// another one: its request may have run.
class ConnectionRegistry
{
public:
    using ConnectionPtr = std::shared_ptr<EventConnection>;

    ConnectionRegistry(Metrics &metrics, const EventServerLimits &limits)
        : m_limits(limits)
        , m_refusals(metrics)
    {
    }

    /// Adds a connection. If there are too many, closes another one, or returns false if none can
    /// be closed.
    bool add(const ConnectionPtr &connection);
    void remove(const ConnectionPtr &connection) { m_connections.erase(connection); }

    void closeAll();
    void closeExpired(BootTime now);
    /// Closes a connection that has no request in progress: the one that has waited longest for a
    /// request, else the one whose request has been incomplete for longest. False if there is none.
    bool closeOne();
    void shortenIdleTimes();

    /// Counts `bytes` for `connection` in place of what it had. If the sum exceeds the limit,
    /// closes connections with larger incomplete requests; false, without a change, if that is not
    /// enough.
    bool reserve(EventConnection &connection, std::size_t bytes);
    /// The same without a limit, for what cannot be refused any more.
    void account(EventConnection &connection, std::size_t bytes);

    void countRefusal(HttpLimit limit, const Status &error) { m_refusals.add(limit, error); }

    void requestBegan() { ++m_active; }
    void requestEnded() { --m_active; }
    int activeRequests() const { return m_active.load(); }
    void stopKeepAlive() { m_keepAlive = false; }
    bool keepAlive() const { return m_keepAlive.load(); }

private:
    /// Closes the connection with the largest incomplete request that exceeds `bytes`.
    bool closeLarger(const EventConnection &than, std::size_t bytes);

    const EventServerLimits m_limits;
    HttpRefusals m_refusals;
    std::set<ConnectionPtr> m_connections; ///< at most maxConnections
    std::size_t m_memoryBytes = 0;         ///< sum over the connections
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

    enum class State {
        Idle,     ///< waits for a request
        Reading,  ///< has read a part of a request
        Serving,  ///< the handler works, or the response is sent
        Rejecting ///< has rejected a request, whose rest is discarded
    };

    State state() const { return m_state; }
    /// Memory that the registry counts for this connection.
    std::size_t memoryBytes() const { return m_memoryBytes; }
    void setMemoryBytes(std::size_t bytes) { m_memoryBytes = bytes; }
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
    boost::asio::ip::tcp::socket m_socket;
    const std::shared_ptr<const ConnectionEndpoint> m_endpoint;
    ConnectionRegistry &m_registry;
    const std::weak_ptr<void> m_server;
    State m_state = State::Idle;
    BootTime m_deadline = BootTime::max();
    std::size_t m_memoryBytes = 0;
    boost::beast::flat_buffer m_buffer; ///< input that is not parsed yet; at most maxBufferBytes
    std::optional<Parser> m_parser;     ///< set while a request is read
    std::string m_output;               ///< response that is being written
};

} // namespace lavenderarch
