// Address parsing.
#include "lavenderarch/core/address.h"

#include <charconv>

namespace lavenderarch {

Address::Address(std::string host, std::uint16_t port)
    : m_host(std::move(host))
    , m_port(port)
{
}

StatusOr<Address> Address::parse(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return makeError(ErrorKind::InvalidRequest, "address '" + text + "' is not host:port");
    std::uint16_t port = 0;
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(first, last, port);
    if (parsed.ec != std::errc() || parsed.ptr != last || port == 0)
        return makeError(ErrorKind::InvalidRequest, "address '" + text + "' has no valid port");
    return Address(text.substr(0, colon), port);
}

std::string Address::text() const
{
    return m_host + ":" + std::to_string(m_port);
}

} // namespace lavenderarch
