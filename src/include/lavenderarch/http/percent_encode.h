// Percent-encoding of URL components.
#pragma once

#include <string>

namespace lavenderarch {

/// Encodes all but the unreserved characters of `text`, for use in a URL path or query.
std::string percentEncode(const std::string &text);

/// Decodes the path of a URL. A '%' that two hexadecimal digits do not follow stays.
std::string percentDecode(const std::string &text);

} // namespace lavenderarch
