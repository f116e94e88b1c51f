// HTTP exchange and error mapping shared by the adapters of the platform.
#include "platform_http.h"

namespace lavenderarch {

StatusOr<HttpResponse> exchangeWithPlatform(HttpClient &client, const Address &address,
                                            const HttpRequest &request, TimePoint deadline,
                                            Resend resend)
{
    auto response = client.exchange(address, request, deadline, resend);
    if (!response.ok()) {
        const bool notSent = kindOf(response.status()) == ErrorKind::Unreachable;
        return makeError(notSent ? ErrorKind::StoreUnavailable : ErrorKind::OutcomeUnknown,
                         messageOf(response.status()));
    }
    if (response->status == 200)
        return response;
    const ErrorKind kind = response->status == 503   ? ErrorKind::StoreUnavailable
                           : response->status == 404 ? ErrorKind::NotFound
                                                     : ErrorKind::Internal;
    return makeError(kind, "platform returned HTTP status " + std::to_string(response->status));
}

} // namespace lavenderarch
