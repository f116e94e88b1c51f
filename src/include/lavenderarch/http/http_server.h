// HTTP server based on CivetWeb: a fixed pool of threads, each serving one connection at a time.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"
#include "lavenderarch/http/http_server_options.h"

#include <functional>
#include <memory>

namespace lavenderarch {

class Metrics;

/// Serves requests until destroyed. The handler is called from many threads at once; an exception
/// of it is answered with status 500. Without a call of the handler, a request whose body is too
/// large gets status 413, one whose body is malformed or incomplete status 400, and one that would
/// exceed the memory for bodies status 503. As many connections as there are threads wait for one;
/// further ones are not accepted until then.
class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /// Starts listening; fails with Internal when the address is in use. `metrics`, unless null,
    /// counts refused requests in lavender_http_refused_total and must outlive the server.
    static StatusOr<std::unique_ptr<HttpServer>> start(const Address &address,
                                                       const HttpServerOptions &options,
                                                       Handler handler, Metrics *metrics = nullptr);
    /// Stops listening and waits for the running handlers.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// From now on every connection is closed after its next response.
    void disableKeepAlive();

    /// Number of handlers running now.
    int activeRequests() const;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace lavenderarch
