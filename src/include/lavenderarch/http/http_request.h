// One HTTP request, as received or to be sent.
#pragma once

#include "lavenderarch/http/http_headers.h"

#include <string>

namespace lavenderarch {

/// Value type. `path` starts with '/', without the query; `query` is without '?'.
struct HttpRequest
{
    std::string method = "GET";
    std::string path = "/";
    std::string query;
    HttpHeaders headers;
    std::string body;

    friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

/// Value of the query parameter `name`, percent-decoded; empty when absent.
std::string queryParameter(const HttpRequest &request, std::string_view name);

} // namespace lavenderarch
