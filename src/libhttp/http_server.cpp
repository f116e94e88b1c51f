// HTTP server based on CivetWeb.
#include "lavenderarch/http/http_server.h"

#include "http_refusals.h"
#include "lavenderarch/telemetry/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <civetweb.h>
#include <cstring>
#include <optional>

namespace lavenderarch {
namespace {

constexpr std::size_t readChunkBytes = std::size_t{16} * 1024;

/// Largest body that is not counted as memory. Each thread reads one body at a time.
constexpr std::size_t smallBodyBytes = std::size_t{64} * 1024;

enum class BodyResult { Complete, TooLarge, Incomplete, NoMemory };

/// Memory of one body, taken from what all bodies of a server may use, until destruction.
class BodyMemory
{
public:
    BodyMemory(std::atomic<std::size_t> &used, std::size_t limit)
        : m_used(used)
        , m_limit(limit)
    {
    }
    ~BodyMemory() { m_used -= m_bytes; }
    BodyMemory(const BodyMemory &) = delete;
    BodyMemory &operator=(const BodyMemory &) = delete;

    /// Takes memory for a body of up to `bytes`; false, without an effect, if others use too much.
    /// No effect for a small body, and after the first call.
    bool take(std::size_t bytes)
    {
        if (m_bytes > 0 || bytes <= smallBodyBytes)
            return true;
        if (m_used.fetch_add(bytes) + bytes > m_limit) {
            m_used -= bytes;
            return false;
        }
        m_bytes = bytes;
        return true;
    }

private:
    std::atomic<std::size_t> &m_used;
    const std::size_t m_limit;
    std::size_t m_bytes = 0;
};

BodyResult readBody(mg_connection *connection, long long contentLength, std::size_t limit,
                    BodyMemory &memory, std::string &body)
{
    if (contentLength > static_cast<long long>(limit))
        return BodyResult::TooLarge;
    if (contentLength > 0) {
        if (!memory.take(static_cast<std::size_t>(contentLength)))
            return BodyResult::NoMemory;
        body.reserve(static_cast<std::size_t>(contentLength));
    }
    std::array<char, readChunkBytes> chunk;
    while (contentLength < 0 || body.size() < static_cast<std::size_t>(contentLength)) {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count < 0)
            return BodyResult::Incomplete;
        if (count == 0)
            break;
        const std::size_t size = body.size() + static_cast<std::size_t>(count);
        if (size > limit)
            return BodyResult::TooLarge;
        // A body without a length may become as large as the limit.
        if (size > smallBodyBytes && !memory.take(limit))
            return BodyResult::NoMemory;
        body.append(chunk.data(), static_cast<std::size_t>(count));
    }
    const bool complete =
        contentLength < 0 || body.size() == static_cast<std::size_t>(contentLength);
    return complete ? BodyResult::Complete : BodyResult::Incomplete;
}

/// Writes `response`; returns whether the connection may be reused. When the handler sets
/// Content-Length itself, the connection is closed after the response, so that the client does not
/// take a body shorter than that length for a complete one.
bool writeResponse(mg_connection *connection, const HttpResponse &response, bool close)
{
    const bool handlerSetsLength = response.headers.find("Content-Length").has_value();
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                       mg_get_response_code_text(connection, response.status) + "\r\n";
    for (const auto &[name, value] : response.headers.fields())
        text.append(name).append(": ").append(value).append("\r\n");
    if (!handlerSetsLength)
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    const bool reusable = !close && !handlerSetsLength;
    text += reusable ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
    text += response.body;
    mg_write(connection, text.data(), text.size());
    return reusable;
}

/// An exception that left the handler would end the process.
HttpResponse callHandler(const HttpServer::Handler &handler, const HttpRequest &request)
{
    try {
        return handler(request);
    } catch (const std::exception &error) {
        const Status failed = makeError(ErrorKind::Internal, error.what());
        logFailure("http", "request failed with an exception", failed,
                   {{"method", request.method}, {"path", request.path}});
        return errorResponse(failed);
    }
}

HttpRequest parseRequestHead(const mg_request_info &info)
{
    HttpRequest request;
    request.method = info.request_method != nullptr ? info.request_method : "";
    request.path = info.local_uri != nullptr ? info.local_uri : "";
    request.query = info.query_string != nullptr ? info.query_string : "";
    for (int index = 0; index < info.num_headers; ++index)
        request.headers.set(info.http_headers[index].name, info.http_headers[index].value);
    return request;
}

/// Counts a request from construction to destruction.
class ActiveRequest
{
public:
    explicit ActiveRequest(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~ActiveRequest() { --m_count; }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
    std::atomic<int> &m_count;
};

} // namespace

struct HttpServer::Impl
{
    Handler handler;
    HttpServerOptions options;
    std::atomic<int> active{0};
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> bodyMemory{0}; ///< used by bodies that are not small
    std::optional<HttpRefusals> refusals;
    mg_context *context = nullptr;

    /// Answers a request whose body is not handed to the handler, and closes the connection.
    int reject(mg_connection *connection, BodyResult body)
    {
        HttpLimit limit = HttpLimit::Syntax;
        Status error = makeError(ErrorKind::InvalidRequest, "the body is malformed or incomplete");
        if (body == BodyResult::TooLarge) {
            limit = HttpLimit::Body;
            error = makeError(ErrorKind::PayloadTooLarge,
                              "body exceeds " + std::to_string(options.maxBodyBytes) + " bytes");
        } else if (body == BodyResult::NoMemory) {
            limit = HttpLimit::Memory;
            error = makeError(ErrorKind::Overloaded, "too many large requests at once");
        }
        if (refusals)
            refusals->add(limit, error);
        const HttpResponse response = errorResponse(error);
        writeResponse(connection, response, true);
        mg_disable_connection_keep_alive(connection);
        return response.status;
    }

    int serve(mg_connection *connection)
    {
        // Counted before the body is read, so that a process that waits for its requests does not
        // end between the two.
        const ActiveRequest counted(active);
        const mg_request_info *info = mg_get_request_info(connection);
        HttpRequest request = parseRequestHead(*info);
        const bool chunked = request.headers.find("Transfer-Encoding").has_value();
        const bool hasBody = chunked || info->content_length > 0;
        BodyMemory memory(bodyMemory, std::max(options.bodyMemoryBytes, options.maxBodyBytes));
        const BodyResult body = hasBody ? readBody(connection, info->content_length,
                                                   options.maxBodyBytes, memory, request.body)
                                        : BodyResult::Complete;
        if (body != BodyResult::Complete)
            return reject(connection, body);
        const HttpResponse response = callHandler(handler, request);
        const bool dropConnection = response.status == dropConnectionStatus;
        if (dropConnection || !writeResponse(connection, response, draining))
            mg_disable_connection_keep_alive(connection);
        return dropConnection ? 500 : response.status;
    }
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpServer::~HttpServer()
{
    if (m_impl->context != nullptr)
        mg_stop(m_impl->context);
}

StatusOr<std::unique_ptr<HttpServer>> HttpServer::start(const Address &address,
                                                        const HttpServerOptions &options,
                                                        Handler handler, Metrics *metrics)
{
    auto impl = std::make_unique<Impl>();
    if (metrics != nullptr)
        impl->refusals.emplace(*metrics);
    impl->handler = std::move(handler);
    impl->options = options;
    const std::string port = address.text();
    const std::string threads = std::to_string(options.threads);
    const std::string requestTimeout = std::to_string(options.requestTimeoutMs);
    const std::string keepAlive = std::to_string(options.keepAliveTimeoutMs);
    const std::array<const char *, 19> settings = {"listening_ports",
                                                   port.c_str(),
                                                   "num_threads",
                                                   threads.c_str(),
                                                   "request_timeout_ms",
                                                   requestTimeout.c_str(),
                                                   "enable_keep_alive",
                                                   "yes",
                                                   "keep_alive_timeout_ms",
                                                   keepAlive.c_str(),
                                                   "tcp_nodelay",
                                                   "1",
                                                   "connection_queue",
                                                   threads.c_str(),
                                                   "listen_backlog",
                                                   "1024",
                                                   "linger_timeout_ms",
                                                   "-1",
                                                   nullptr};
    mg_init_library(0);
    mg_callbacks callbacks;
    std::memset(&callbacks, 0, sizeof callbacks);
    callbacks.log_message = [](const mg_connection *, const char *) { return 1; };
    impl->context = mg_start(&callbacks, nullptr, const_cast<const char **>(settings.data()));
    if (impl->context == nullptr)
        return makeError(ErrorKind::Internal, "cannot listen on " + port);
    mg_set_request_handler(
        impl->context, "/",
        [](mg_connection *connection, void *userData) {
            return static_cast<Impl *>(userData)->serve(connection);
        },
        impl.get());
    // Without a handler, CivetWeb looks for a password file on disk at each request.
    mg_set_auth_handler(
        impl->context, "/", [](mg_connection *, void *) { return 1; }, nullptr);
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::disableKeepAlive()
{
    m_impl->draining = true;
}

int HttpServer::activeRequests() const
{
    return m_impl->active.load();
}

} // namespace lavenderarch
