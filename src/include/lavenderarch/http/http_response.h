// One HTTP response, complete in memory.
#pragma once

#include "lavenderarch/core/json.h"
#include "lavenderarch/core/status.h"
#include "lavenderarch/http/http_headers.h"

#include <string>

namespace lavenderarch {

/// Value type. The body is always whole: its length was checked against Content-Length.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;

    friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

/// A handler that answers this status drops the connection without a response.
inline constexpr int dropConnectionStatus = 0;

/// JSON response with the given HTTP status.
HttpResponse jsonResponse(int status, const Json &body);

/// Refusal for `error`: status, Retry-After, Lavender-Error and Lavender-Outcome from the table.
HttpResponse errorResponse(const Status &error);

/// Status carried by a refusal made by errorResponse; OK when the response is not a refusal.
Status errorFromResponse(const HttpResponse &response);

} // namespace lavenderarch
