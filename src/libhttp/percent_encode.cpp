// Percent-encoding with CivetWeb.
#include "lavenderarch/http/percent_encode.h"

#include <civetweb.h>

namespace lavenderarch {

std::string percentEncode(const std::string &text)
{
    // Each byte takes at most three characters; CivetWeb adds a terminating zero.
    std::string encoded(text.size() * 3 + 1, '\0');
    const int length = mg_url_encode(text.c_str(), encoded.data(), encoded.size());
    encoded.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return encoded;
}

} // namespace lavenderarch
