// Shared by the HTTP adapters of the platform: sending and status mapping.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/json.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/http/http_client.h"

namespace lavenderarch {

/// Sends `request`; a 503 or a refused connection becomes StoreUnavailable, no answer becomes
/// OutcomeUnknown, other refusals NotFound or Internal.
StatusOr<HttpResponse> exchangeWithPlatform(HttpClient &client, const Address &address,
                                            const HttpRequest &request, TimePoint deadline,
                                            Resend resend);

} // namespace lavenderarch
