// Shared by the HTTP adapters of the platform: sending, status mapping and parsing.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/json.h"
#include "lavenderarch/core/time.h"
#include "lavenderarch/http/http_client.h"

#include <string>

namespace lavenderarch {

/// Percent-encodes all but unreserved characters.
std::string percentEncode(const std::string &text);

/// Sends `request`; a 503 or a refused connection becomes StoreUnavailable, no answer becomes
/// OutcomeUnknown, other refusals NotFound or Internal.
StatusOr<HttpResponse> exchangeWithStore(HttpClient &client, const Address &address,
                                         const HttpRequest &request, TimePoint deadline,
                                         Resend resend);

template <typename Value>
StatusOr<Value> parseStoreBody(const std::string &body, std::string_view what)
{
    return parseAs<Value>(body, what);
}

} // namespace lavenderarch
