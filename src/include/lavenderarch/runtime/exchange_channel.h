// Sends an agent's exchange requests to the owner of its cell.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/boot_clock.h"
#include "lavenderarch/dispatch/exchange_reply.h"
#include "lavenderarch/dispatch/exchange_request.h"

namespace lavenderarch {

class HttpClient;

/// Path prefix of exchange requests on an entry's own port; the cell's name follows.
inline constexpr const char *exchangePath = "/exchange/";

/// Thread-safe. Does not own the client, which must outlive it.
class ExchangeChannel
{
public:
    explicit ExchangeChannel(HttpClient &client)
        : m_client(client)
    {
    }

    /// StaleCommand when the peer does not own the cell.
    StatusOr<ExchangeReply> send(const Address &owner, const std::string &cell,
                                 const ExchangeRequest &request, BootTime deadline);

private:
    HttpClient &m_client;
};

} // namespace lavenderarch
