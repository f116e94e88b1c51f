// JSON-RPC dispatch by libjsonrpccpp's protocol handler; the process's HTTP server is the
// transport.
#include "lavenderarch/protocol/rpc_server.h"

#include "rpc_codes.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/jsonparser.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <map>
#include <mutex>

namespace lavenderarch {
namespace {

/// Requests with more values are large: these are handled one at a time, as a parsed value takes up
/// to 150 bytes in each of the two forms that a request is converted to.
constexpr std::size_t smallRequestValues = 1000;

std::string toText(const ::Json::Value &value)
{
    ::Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return ::Json::writeString(writer, value);
}

bool fromText(const std::string &text, ::Json::Value &value)
{
    const ::Json::CharReaderBuilder builder;
    const std::unique_ptr<::Json::CharReader> reader(builder.newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

} // namespace

struct RpcServer::Impl : public jsonrpc::IProcedureInvokationHandler
{
    std::map<std::string, Method> methods;
    std::mutex
        largeRequests; ///< held while a large request is handled; the first in the lock order
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol{
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)};

    void HandleMethodCall(jsonrpc::Procedure &procedure, const ::Json::Value &input,
                          ::Json::Value &output) override
    {
        const Method &method = methods.at(procedure.GetProcedureName());
        const auto parameters = parseJson(toText(input), "parameters");
        const auto result = parameters.ok() ? method(*parameters) : parameters;
        if (!result.ok())
            throw jsonrpc::JsonRpcException(rpcCodeOf(kindOf(result.status())),
                                            messageOf(result.status()));
        if (!fromText(result->dump(), output))
            throw jsonrpc::JsonRpcException(rpcCodeOf(ErrorKind::Internal), "result is not JSON");
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const ::Json::Value &) override {}
};

RpcServer::RpcServer()
    : m_impl(std::make_unique<Impl>())
{
}

RpcServer::~RpcServer() = default;

void RpcServer::add(const std::string &name, Method method)
{
    m_impl->methods[name] = std::move(method);
    m_impl->protocol->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string RpcServer::handle(const std::string &request)
{
    std::unique_lock<std::mutex> large(m_impl->largeRequests, std::defer_lock);
    if (!checkJsonSize(request, "request", smallRequestValues).ok()) {
        if (const Status size = checkJsonSize(request, "request"); !size.ok())
            return jsonText(
                {{"jsonrpc", "2.0"},
                 {"id", nullptr},
                 {"error", {{"code", rpcCodeOf(kindOf(size))}, {"message", messageOf(size)}}}});
        large.lock();
    }
    std::string response;
    m_impl->protocol->HandleRequest(request, response);
    return response;
}

} // namespace lavenderarch
