// Exchange requests and replies as JSON over HTTP.
#include "lavenderarch/runtime/exchange_channel.h"

#include "lavenderarch/http/header_names.h"
#include "lavenderarch/http/http_client.h"

namespace lavenderarch {

StatusOr<ExchangeReply> ExchangeChannel::send(const Address &owner, const std::string &cell,
                                              const ExchangeRequest &request, BootTime deadline)
{
    const HttpRequest message{"POST",
                              exchangePath + cell,
                              "",
                              {{header::contentType, "application/json"}},
                              requestText(request)};
    const auto answer = m_client.exchange(owner, message, deadline, Resend::OnClosedConnection);
    if (!answer.ok())
        return answer.status();
    if (answer->status != 200)
        return errorFromResponse(*answer);
    return parseAs<ExchangeReply>(answer->body, "exchange reply");
}

} // namespace lavenderarch
