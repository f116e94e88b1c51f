// One HTTP response, complete in memory.
#pragma once

#include "lavenderarch/core/json.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/http/http_headers.h"

#include <string>

namespace lavenderarch {

/// Value type. The body is always complete: its length was checked against Content-Length.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

/// Status with which a handler makes the server close the connection without a response.
inline constexpr int dropConnectionStatus = 0;

/// JSON response with the given HTTP status.
HttpResponse jsonResponse(int status, const Json &body);

/// Error response for `error`: the status, Retry-After, Lavender-Error and Lavender-Outcome come
/// from its ErrorDescriptor.
HttpResponse errorResponse(const Status &error);

/// Status carried by a response that errorResponse made; OK when `response` is not an error.
Status errorFromResponse(const HttpResponse &response);

} // namespace lavenderarch
