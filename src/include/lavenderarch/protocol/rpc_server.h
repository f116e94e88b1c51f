// Dispatches JSON-RPC requests that arrive over the process's HTTP server.
#pragma once

#include "lavenderarch/core/json.h"

#include <functional>
#include <memory>
#include <string>

namespace lavenderarch {

/// Register all methods before the first request; afterwards handle() is thread-safe.
class RpcServer
{
public:
    using Method = std::function<StatusOr<Json>(const Json &parameters)>;

    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    void add(const std::string &name, Method method);

    /// Adds a method with typed request and reply.
    template <typename Request, typename Function>
    void addTyped(const std::string &name, Function function)
    {
        add(name, [name, function](const Json &parameters) -> StatusOr<Json> {
            const auto request = fromJson<Request>(parameters, name);
            if (!request.ok())
                return request.status();
            auto reply = function(*request);
            if (!reply.ok())
                return reply.status();
            return Json(*reply);
        });
    }

    /// Handles one JSON-RPC request text and returns the response text.
    std::string handle(const std::string &request);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lavenderarch
