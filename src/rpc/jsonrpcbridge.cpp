#include <oleandercross/rpc/detail/jsonrpcbridge.h>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <exception>
#include <map>

namespace oleandercross {
namespace rpc {
namespace detail {

namespace {

// Code of a transport failure, distinct from the library's own error codes, which are below -32000.
constexpr int TransportFailed = -1;

// The library's parser throws if a response is nested too deeply or contains a number out of range.
// Its functions declare that they only throw JsonRpcException, so that any other exception would
// end the process.
void translateException()
{
    try {
        throw;
    } catch (const std::exception &e) {
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE, e.what());
    }
}

const std::unexpected_handler previousHandler = std::set_unexpected(translateException);

class Connector : public jsonrpc::IClientConnector
{
public:
    explicit Connector(const Transport &transport)
        : m_transport(transport)
    { }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_transport(message, result))
            throw jsonrpc::JsonRpcException(TransportFailed, "transport failed");
    }

private:
    const Transport &m_transport;
};

} // namespace

class ServerBridge::Private : public jsonrpc::IProcedureInvokationHandler
{
public:
    Private()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                         *this))
    { }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        const CallResult result = handlers.at(procedure.GetProcedureName())(input);
        if (result.code != 0)
            throw jsonrpc::JsonRpcException(result.code, result.message);
        output = result.value;
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override { }

    std::map<std::string, Handler> handlers;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

ServerBridge::ServerBridge()
    : d(new Private)
{ }

ServerBridge::~ServerBridge() = default;

void ServerBridge::add(const std::string &method, Handler handler)
{
    d->handlers[method] = std::move(handler);
    d->protocol->AddProcedure(
        jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
}

std::string ServerBridge::handle(const std::string &request)
{
    std::string response;
    d->protocol->HandleRequest(request, response);
    return response;
}

CallResult call(const Transport &transport, const std::string &method, const Json::Value &params)
{
    Connector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    CallResult result;
    try {
        client.CallMethod(method, params, result.value);
    } catch (const jsonrpc::JsonRpcException &e) {
        // A peer must not report a failure as code 0, which stands for success.
        result.code =
            e.GetCode() != 0 ? e.GetCode() : jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
        result.message = e.GetMessage();
    }
    return result;
}

} // namespace detail
} // namespace rpc
} // namespace oleandercross
