// Percent-encoding of URL queries.
#pragma once

#include <string>

namespace lavenderarch {

/// `text` as a value of a URL's query: all but unreserved characters are encoded.
std::string percentEncode(const std::string &text);

} // namespace lavenderarch
