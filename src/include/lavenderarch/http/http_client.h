// HTTP client over CivetWeb with a pool of kept-alive connections per address.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/http/http_request.h"
#include "lavenderarch/http/http_response.h"

#include <memory>

namespace lavenderarch {

/// Whether a request may be sent a second time when a pooled connection turns out to be closed.
enum class Resend { Never, OnClosedConnection };

/// Sends requests and reads whole responses. Thread-safe; one object serves a process.
class HttpClient
{
public:
    /// A connection that was idle for `maxIdleTime` is not used again: choose it below the
    /// servers' own limit.
    explicit HttpClient(Milliseconds maxIdleTime = Milliseconds(1000));
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends `request` and waits for the whole response, at most until `deadline`.
    /// Errors: Unreachable (no byte was sent), OutcomeUnknown (sent, no response in time),
    /// CorruptedAnswer (the response is shorter than announced or has no length).
    StatusOr<HttpResponse> exchange(const Address &address, const HttpRequest &request,
                                    TimePoint deadline, Resend resend = Resend::Never);
    /// The same with a deadline on the clock that does not jump.
    StatusOr<HttpResponse> exchange(const Address &address, const HttpRequest &request,
                                    BootTime deadline, Resend resend = Resend::Never);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lavenderarch
