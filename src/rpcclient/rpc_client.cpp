// JSON-RPC client over a caller-supplied transport. Compiled as C++14: see CMakeLists.txt.
#include "rpc_client.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/jsonparser.h>
#include <memory>

namespace lavenderarch {
namespace {

class TransportConnector : public jsonrpc::IClientConnector
{
public:
    explicit TransportConnector(const RpcTransport &transport)
        : m_transport(transport)
    {
    }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_transport(message, result))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no response");
    }

private:
    const RpcTransport &m_transport;
};

bool parseJson(const std::string &text, Json::Value &value)
{
    Json::CharReaderBuilder builder;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

} // namespace

RpcClientResult callJsonRpc(const RpcTransport &transport, const std::string &method,
                            const std::string &parametersJson)
{
    RpcClientResult outcome;
    Json::Value parameters;
    if (!parseJson(parametersJson, parameters)) {
        outcome.errorText = "parameters are not valid JSON";
        return outcome;
    }
    TransportConnector connector(transport);
    jsonrpc::Client client(connector);
    try {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        outcome.result = Json::writeString(writer, client.CallMethod(method, parameters));
        outcome.ok = true;
    } catch (const jsonrpc::JsonRpcException &error) {
        outcome.errorCode = error.GetCode();
        outcome.errorText = error.GetMessage();
    } catch (const std::exception &error) {
        outcome.errorText = error.what();
    }
    return outcome;
}

} // namespace lavenderarch
