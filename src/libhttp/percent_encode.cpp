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

std::string percentDecode(const std::string &text)
{
    if (text.find('%') == std::string::npos)
        return text;
    constexpr int formEncoding = 0; // '+' stands for itself in a path
    std::string decoded(text.size() + 1, '\0');
    const int length = mg_url_decode(text.c_str(), static_cast<int>(text.size()), decoded.data(),
                                     static_cast<int>(decoded.size()), formEncoding);
    decoded.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return decoded;
}

} // namespace lavenderarch
