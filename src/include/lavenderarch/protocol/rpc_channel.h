// Client side of JSON-RPC between the processes of a deployment.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/core/json.h"
#include "lavenderarch/core/time.h"

#include <string>

namespace lavenderarch {

class HttpClient;

/// Sends JSON-RPC 2.0 over HTTP POST /rpc. Thread-safe; does not own the client, which must
/// outlive it. All methods of the internal protocol are idempotent, so a call is sent again when
/// its pooled connection turns out to be closed.
class RpcChannel
{
public:
    explicit RpcChannel(HttpClient &client)
        : m_client(client)
    {
    }

    /// Calls `method`. Errors are those of HttpClient and those returned by the method.
    StatusOr<Json> call(const Address &address, const std::string &method, const Json &parameters,
                        TimePoint deadline);

    /// Typed call: converts `request` to JSON and the result to `Reply`.
    template <typename Reply, typename Request>
    StatusOr<Reply> call(const Address &address, const std::string &method, const Request &request,
                         TimePoint deadline)
    {
        const auto result = call(address, method, Json(request), deadline);
        if (!result.ok())
            return result.status();
        return fromJson<Reply>(*result, method);
    }

private:
    HttpClient &m_client;
};

} // namespace lavenderarch
