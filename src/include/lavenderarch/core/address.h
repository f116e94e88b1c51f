// IPv4 address and port of a process.
#pragma once

#include "lavenderarch/core/status.h"

#include <compare>
#include <cstdint>
#include <string>

namespace lavenderarch {

/// Immutable IPv4 address with port, written "127.0.0.1:8080".
class Address
{
public:
    Address() = default;
    Address(std::string host, std::uint16_t port);

    /// Parses "host:port"; the error quotes `text` and tells what is wrong.
    static StatusOr<Address> parse(const std::string &text);

    const std::string &host() const { return m_host; }
    std::uint16_t port() const { return m_port; }
    std::string text() const;

    friend bool operator==(const Address &, const Address &) = default;
    friend std::strong_ordering operator<=>(const Address &left, const Address &right)
    {
        if (left.m_host != right.m_host)
            return left.m_host < right.m_host ? std::strong_ordering::less
                                              : std::strong_ordering::greater;
        return left.m_port <=> right.m_port;
    }

private:
    std::string m_host;
    std::uint16_t m_port = 0;
};

} // namespace lavenderarch
