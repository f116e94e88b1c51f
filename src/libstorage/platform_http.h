// HTTP exchange and error mapping shared by the adapters of the platform.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/json.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/http/http_client.h"

namespace lavenderarch {

/// Sends `request` and maps errors: status 503 and a failure to connect to StoreUnavailable, a
/// missing or incomplete response to OutcomeUnknown, status 404 to NotFound, others to Internal.
StatusOr<HttpResponse> exchangeWithPlatform(HttpClient &client, const Address &address,
                                            const HttpRequest &request, TimePoint deadline,
                                            Resend resend);

} // namespace lavenderarch
