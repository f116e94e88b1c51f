// HTTP client with a pool of keep-alive connections per address.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/http/http_client_options.h"
#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"

#include <memory>

namespace lavenderarch {

/// Whether a request may be sent again when sending it on a pooled connection fails.
enum class Resend { Never, OnClosedConnection };

/// Sends requests and reads whole responses. Thread-safe; a process needs only one.
class HttpClient
{
public:
    explicit HttpClient(const HttpClientOptions &options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends `request` and waits for the whole response. Connecting, sending, the head and the body
    /// of the response all end at `deadline`, since a peer may go silent at any byte.
    /// Errors: Unreachable (no byte was sent), OutcomeUnknown (sent, no head of a response in
    /// time), CorruptedAnswer (the body has no length, is too large or did not arrive whole in
    /// time, or its chunk headers or trailers are too large).
    StatusOr<HttpResponse> exchange(const Address &address, const HttpRequest &request,
                                    TimePoint deadline, Resend resend = Resend::Never);
    /// The same with a deadline on the monotonic BootClock.
    StatusOr<HttpResponse> exchange(const Address &address, const HttpRequest &request,
                                    BootTime deadline, Resend resend = Resend::Never);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lavenderarch
