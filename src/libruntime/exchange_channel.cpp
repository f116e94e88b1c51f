// Exchange requests and replies as JSON over HTTP.
#include "lavenderarch/runtime/exchange_channel.h"

#include "lavenderarch/dispatch/step_spec.h"
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
    auto reply = parseAs<ExchangeReply>(answer->body, "exchange reply");
    if (reply.ok() && (reply->grantMs < 0 || reply->grantMs > maxDurationMs))
        return makeError(ErrorKind::CorruptedAnswer, "exchange reply: grantMs is out of range");
    if (!reply.ok())
        return reply;
    for (RunOrder &order : reply->orders)
        order.startWithinMs = std::min(order.startWithinMs, maxDurationMs);
    return reply;
}

} // namespace lavenderarch
