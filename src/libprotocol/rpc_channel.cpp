// JSON-RPC calls over the project's HTTP client.
#include "lavenderarch/protocol/rpc_channel.h"

#include "lavenderarch/core/error_descriptor.h"
#include "lavenderarch/http/header_names.h"
#include "lavenderarch/http/http_client.h"
#include "rpc_client.h"
#include "rpc_codes.h"

namespace lavenderarch {

StatusOr<Json> RpcChannel::call(const Address &address, const std::string &method,
                                const Json &parameters, TimePoint deadline)
{
    Status transportError;
    const RpcTransport transport = [&](const std::string &text, std::string &response) {
        const HttpRequest request{
            "POST", "/rpc", "", {{header::contentType, "application/json"}}, text};
        auto httpResponse =
            m_client.exchange(address, request, deadline, Resend::OnClosedConnection);
        if (httpResponse.ok() && httpResponse->status != 200)
            transportError = errorFromResponse(*httpResponse);
        else if (!httpResponse.ok())
            transportError = httpResponse.status();
        if (!transportError.ok())
            return false;
        response = std::move(httpResponse->body);
        return true;
    };
    const RpcClientResult result = callJsonRpc(transport, method, jsonText(parameters));
    if (result.ok)
        return parseJson(result.result, method);
    if (!transportError.ok())
        return transportError;
    return makeError(kindFromRpcCode(result.errorCode), result.errorText);
}

} // namespace lavenderarch
