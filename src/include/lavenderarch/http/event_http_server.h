// HTTP server whose connections share one thread, so that one that waits costs a descriptor only.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/http/event_server_limits.h"
#include "lavenderarch/http/http_port_options.h"
#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"

#include <functional>
#include <memory>

namespace lavenderarch {

class Metrics;

/// Serves HTTP/1.1 on any number of ports until destroyed. Handlers are called on the server's
/// thread and must not block. A request whose body, chunk headers or trailers are too large gets
/// status 413, one that is not HTTP status 400, and one that would exceed the memory of the server
/// status 503, all without a call of the handler. Beyond the largest number of connections, one
/// without a complete request is closed for each new one. The metric lavender_http_refused_total
/// counts all these by the limit that was exceeded.
class EventHttpServer
{
public:
    /// Sends the response. May be called on any thread, once, also after the server's end, when it
    /// has no effect.
    using Respond = std::function<void(HttpResponse)>;
    /// An exception that leaves the handler before it has responded is answered with status 500.
    using Handler = std::function<void(HttpRequest, Respond)>;

    /// Fails with Internal when the system provides no thread. The metrics must outlive the server.
    static StatusOr<std::unique_ptr<EventHttpServer>> start(Metrics &metrics,
                                                            const EventServerLimits &limits = {});
    /// Closes all connections; does not wait for responses.
    ~EventHttpServer();
    EventHttpServer(const EventHttpServer &) = delete;
    EventHttpServer &operator=(const EventHttpServer &) = delete;

    /// Serves `address` as well; fails with Internal when it is in use.
    Status listen(const Address &address, const HttpPortOptions &options, Handler handler);

    /// From now on each connection is closed after its next response, and those that stay idle are
    /// closed soon.
    void disableKeepAlive();

    /// Number of requests that have been read and whose response is not written yet.
    int activeRequests() const;

private:
    struct Impl;
    explicit EventHttpServer(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace lavenderarch
