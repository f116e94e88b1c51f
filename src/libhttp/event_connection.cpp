// Reading of requests and writing of responses on one connection.
#include "event_connection.h"

#include "lavenderarch/http/percent_encode.h"
#include "lavenderarch/telemetry/log.h"
#include "message_parsing.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

namespace lavenderarch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Time for which an idle connection stays open once there is no keep-alive any more.
constexpr Milliseconds finalIdleTime{300};
/// Time for which the input of a rejected request is read and discarded.
constexpr Milliseconds discardTime{1000};
constexpr std::size_t discardBytes = std::size_t{16} * 1024;

/// Memory of a connection without a request.
constexpr std::size_t connectionBytes = 2048;
/// Memory of the buffer and of the parsed head while a request is read.
constexpr std::size_t headBytes = std::size_t{3} * maxHeadBytes;
/// Memory that is counted for a request with a small body from its first byte on.
constexpr std::size_t smallRequestBytes = headBytes + maxHeadBytes;

/// Memory of a connection while it reads a request with a body of `bodyBytes`.
std::size_t readingBytes(std::size_t bodyBytes)
{
    return connectionBytes + std::max(smallRequestBytes, headBytes + bodyBytes);
}

std::size_t requestBytes(const HttpRequest &request)
{
    std::size_t bytes = request.path.size() + request.query.size() + request.body.size();
    for (const auto &field : request.headers.fields())
        bytes += sizeof field + field.first.size() + field.second.size();
    return bytes;
}

std::string responseText(const HttpResponse &response, bool reusable)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    const auto reason =
        beast::http::obsolete_reason(static_cast<beast::http::status>(response.status));
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto &[name, value] : response.headers.fields())
        text.append(name).append(": ").append(value).append("\r\n");
    text.append("Content-Length: ").append(std::to_string(response.body.size()));
    text += reusable ? "\r\nConnection: keep-alive\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
    return text + response.body;
}

template <typename Message>
HttpRequest requestOf(Message &message)
{
    HttpRequest request;
    request.method = textOf(message.method_string());
    const std::string target = textOf(message.target());
    const auto query = target.find('?');
    request.path = percentDecode(target.substr(0, query));
    request.query = query == std::string::npos ? "" : target.substr(query + 1);
    request.headers = headersOf(message);
    request.body = std::move(message.body());
    return request;
}

} // namespace

// close() removes the connection from the registry.
void ConnectionRegistry::closeAll()
{
    while (!m_connections.empty())
        (*m_connections.begin())->close();
}

void ConnectionRegistry::closeExpired(BootTime now)
{
    for (auto next = m_connections.begin(); next != m_connections.end();) {
        const ConnectionPtr connection = *next++;
        if (connection->deadline() <= now)
            connection->close();
    }
}

bool ConnectionRegistry::add(const ConnectionPtr &connection)
{
    const bool full = m_connections.size() >= m_limits.maxConnections;
    if (full)
        countRefusal(
            HttpLimit::Connections,
            makeError(ErrorKind::Overloaded,
                      "more than " + std::to_string(m_limits.maxConnections) + " connections"));
    if (full && !closeOne())
        return false;
    m_connections.insert(connection);
    account(*connection, connectionBytes);
    return true;
}

bool ConnectionRegistry::closeOne()
{
    // Earlier deadlines began earlier, as all connections of a port wait for the same time.
    const auto order = [](const EventConnection &connection) {
        return std::pair(connection.state() == EventConnection::State::Reading,
                         connection.deadline());
    };
    ConnectionPtr first;
    for (const ConnectionPtr &connection : m_connections) {
        if (connection->state() != EventConnection::State::Serving &&
            (first == nullptr || order(*connection) < order(*first)))
            first = connection;
    }
    if (first == nullptr)
        return false;
    first->close();
    return true;
}

void ConnectionRegistry::shortenIdleTimes()
{
    const BootTime deadline = BootClock::now() + finalIdleTime;
    for (const ConnectionPtr &connection : m_connections) {
        if (connection->state() == EventConnection::State::Idle)
            connection->setDeadline(std::min(connection->deadline(), deadline));
    }
}

bool ConnectionRegistry::reserve(EventConnection &connection, std::size_t bytes)
{
    const auto fits = [&] {
        return m_memoryBytes - connection.memoryBytes() + bytes <= m_limits.maxMemoryBytes;
    };
    while (bytes > connection.memoryBytes() && !fits()) {
        if (!closeLarger(connection, bytes))
            return false;
    }
    account(connection, bytes);
    return true;
}

void ConnectionRegistry::account(EventConnection &connection, std::size_t bytes)
{
    m_memoryBytes = m_memoryBytes - connection.memoryBytes() + bytes;
    connection.setMemoryBytes(bytes);
}

bool ConnectionRegistry::closeLarger(const EventConnection &than, std::size_t bytes)
{
    // A small request displaces an older one of the same size: a client that does not complete its
    // requests must not keep others out.
    const bool small = bytes <= readingBytes(0);
    const std::size_t least = small ? bytes : bytes + 1;
    const auto order = [](const EventConnection &connection) {
        return std::pair(connection.memoryBytes(), -connection.deadline().time_since_epoch());
    };
    ConnectionPtr largest;
    for (const ConnectionPtr &connection : m_connections) {
        if (connection.get() != &than && connection->state() == EventConnection::State::Reading &&
            connection->memoryBytes() >= least &&
            (largest == nullptr || order(*connection) > order(*largest)))
            largest = connection;
    }
    if (largest == nullptr)
        return false;
    countRefusal(HttpLimit::Memory,
                 makeError(ErrorKind::Overloaded, "an incomplete request was closed for others"));
    largest->close();
    return true;
}

EventConnection::EventConnection(asio::ip::tcp::socket socket,
                                 std::shared_ptr<const ConnectionEndpoint> endpoint,
                                 ConnectionRegistry &registry, std::weak_ptr<void> server)
    : m_socket(std::move(socket))
    , m_endpoint(std::move(endpoint))
    , m_registry(registry)
    , m_server(std::move(server))
    , m_buffer(maxBufferBytes)
{
}

EventConnection::~EventConnection()
{
    m_registry.account(*this, 0);
}

void EventConnection::open()
{
    if (!m_registry.add(shared_from_this()))
        return; // closed with its last reference
    Error ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    awaitRequest();
}

void EventConnection::close()
{
    Error ignored;
    m_socket.close(ignored);
    m_deadline = BootTime::max();
    m_registry.account(*this, 0);
    m_registry.remove(shared_from_this());
}

/// A connection without a request holds no buffer.
void EventConnection::awaitRequest()
{
    m_parser.reset();
    if (m_buffer.size() > 0) {
        readHead();
        return;
    }
    m_buffer = beast::flat_buffer(maxBufferBytes);
    m_state = State::Idle;
    m_registry.account(*this, connectionBytes);
    m_deadline = BootClock::now() +
                 (m_registry.keepAlive() ? m_endpoint->options.idleTimeout : finalIdleTime);
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const Error &error) {
                            if (error)
                                self->close();
                            else
                                self->readHead();
                        });
}

void EventConnection::readHead()
{
    m_state = State::Reading;
    m_deadline = BootClock::now() + m_endpoint->options.requestTimeout;
    if (!m_registry.reserve(*this, readingBytes(0))) {
        reject(HttpLimit::Memory, makeError(ErrorKind::Overloaded, "too many requests at once"));
        return;
    }
    m_parser.emplace();
    limitParser(*m_parser, m_endpoint->options.maxBodyBytes);
    beast::http::async_read_header(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](const Error &error, std::size_t) { self->headRead(error); });
}

bool EventConnection::rejectTooLarge(const Error &error)
{
    if (error == beast::http::error::body_limit)
        reject(HttpLimit::Body,
               makeError(ErrorKind::PayloadTooLarge,
                         "body exceeds " + std::to_string(m_endpoint->options.maxBodyBytes) +
                             " bytes"));
    else if (error == beast::http::error::buffer_overflow)
        reject(HttpLimit::Framing, makeError(ErrorKind::PayloadTooLarge,
                                             "trailers or a chunk header exceed " +
                                                 std::to_string(maxBufferBytes) + " bytes"));
    else
        return false;
    return true;
}

void EventConnection::headRead(const Error &error)
{
    if (rejectTooLarge(error))
        return;
    if (error && error != beast::http::error::end_of_stream &&
        error.category() == make_error_code(beast::http::error::end_of_stream).category()) {
        reject(HttpLimit::Syntax,
               makeError(ErrorKind::InvalidRequest, "not HTTP: " + error.message()));
        return;
    }
    if (error) {
        close();
        return;
    }
    if (hasTooManyFields(m_parser->get())) {
        reject(HttpLimit::Fields,
               makeError(ErrorKind::InvalidRequest,
                         "more than " + std::to_string(maxHeaderFields) + " header fields"));
        return;
    }
    const auto length = m_parser->content_length();
    const std::size_t bytes =
        m_parser->chunked() ? m_endpoint->options.maxBodyBytes : std::size_t(length.value_or(0));
    if (!m_registry.reserve(*this, readingBytes(bytes))) {
        reject(HttpLimit::Memory,
               makeError(ErrorKind::Overloaded, "too many large requests at once"));
        return;
    }
    if (m_parser->is_done()) {
        handle();
        return;
    }
    if (beast::iequals(m_parser->get()[beast::http::field::expect], "100-continue")) {
        m_output = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(m_socket, asio::buffer(m_output),
                          [self = shared_from_this()](const Error &failed, std::size_t) {
                              if (failed)
                                  self->close();
                              else
                                  self->readBody();
                          });
        return;
    }
    readBody();
}

void EventConnection::readBody()
{
    beast::http::async_read(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](const Error &error, std::size_t) { self->bodyRead(error); });
}

void EventConnection::bodyRead(const Error &error)
{
    if (rejectTooLarge(error))
        return;
    if (error)
        close();
    else
        handle();
}

void EventConnection::handle()
{
    m_state = State::Serving;
    m_deadline = BootTime::max();
    auto message = m_parser->release();
    m_parser.reset();
    const auto answer = makeRespond(message.keep_alive());
    m_registry.requestBegan();
    HttpRequest request = requestOf(message);
    if (m_buffer.size() == 0)
        m_buffer = beast::flat_buffer(maxBufferBytes);
    m_registry.account(*this, connectionBytes + m_buffer.capacity() + requestBytes(request));
    const std::string method = request.method;
    const std::string path = request.path;
    try {
        m_endpoint->handler(std::move(request), answer);
    } catch (const std::exception &error) {
        const Status failed = makeError(ErrorKind::Internal, error.what());
        logFailure("http", "request failed with an exception", failed,
                   {{"method", method}, {"path", path}});
        answer(errorResponse(failed));
    }
}

EventHttpServer::Respond EventConnection::makeRespond(bool reusable)
{
    const auto answered = std::make_shared<std::atomic<bool>>(false);
    return [connection = weak_from_this(), server = m_server, executor = m_socket.get_executor(),
            reusable, answered](HttpResponse response) {
        // The executor is valid while the server exists.
        const auto existing = server.lock();
        if (existing == nullptr || answered->exchange(true))
            return;
        asio::dispatch(executor, [connection, reusable, response = std::move(response)] {
            if (const auto self = connection.lock())
                self->respond(response, reusable);
        });
    };
}

void EventConnection::reject(HttpLimit limit, const Status &error)
{
    m_registry.countRefusal(limit, error);
    m_state = State::Rejecting;
    m_parser.reset();
    m_buffer = beast::flat_buffer(maxBufferBytes);
    m_deadline = BootClock::now() + discardTime;
    m_output = responseText(errorResponse(error), false);
    m_registry.account(*this, connectionBytes + m_output.capacity() + discardBytes);
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this()](const Error &failed, std::size_t) {
                          if (failed)
                              self->close();
                          else
                              self->discardInput(self->m_endpoint->options.maxBodyBytes);
                      });
}

void EventConnection::discardInput(std::size_t remaining)
{
    Error ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_output.resize(discardBytes);
    m_socket.async_read_some(asio::buffer(m_output), [self = shared_from_this(), remaining](
                                                         const Error &error, std::size_t count) {
        if (error || count >= remaining)
            self->close();
        else
            self->discardInput(remaining - count);
    });
}

void EventConnection::respond(const HttpResponse &response, bool reusable)
{
    if (!m_socket.is_open() || response.status == dropConnectionStatus) {
        m_registry.requestEnded();
        close();
        return;
    }
    const bool keepOpen = reusable && m_registry.keepAlive();
    m_deadline = BootClock::now() + m_endpoint->options.requestTimeout;
    m_output = responseText(response, keepOpen);
    m_registry.account(*this, connectionBytes + m_buffer.capacity() + m_output.capacity());
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this(), keepOpen](const Error &error, std::size_t) {
                          self->m_registry.requestEnded();
                          self->m_output = {};
                          if (error || !keepOpen)
                              self->close();
                          else
                              self->awaitRequest();
                      });
}

} // namespace lavenderarch
