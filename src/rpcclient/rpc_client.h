// JSON-RPC 2.0 client. Its interface uses standard types only, so that callers compile as C++20.
#pragma once

#include <functional>
#include <string>

namespace lavenderarch {

/// Result of one JSON-RPC call: `ok` tells whether `result` holds the JSON text of the result;
/// otherwise `errorText` is a readable message and `errorCode` the JSON-RPC code.
struct RpcClientResult
{
    bool ok = false;
    std::string result;
    int errorCode = 0;
    std::string errorText;
};

/// Sends `request` and fills `response`; returns false on a transport failure.
using RpcTransport = std::function<bool(const std::string &request, std::string &response)>;

/// Calls `method` with `parametersJson` (an object) over `transport`. Never throws.
RpcClientResult callJsonRpc(const RpcTransport &transport, const std::string &method,
                            const std::string &parametersJson);

} // namespace lavenderarch
