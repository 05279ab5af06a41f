#include "JsonRpcClient.h"

#include <jsonrpccpp/client.h>

namespace berylridge {

namespace {

/// Implements the library's connector interface with a function that sends a message.
class FunctionConnector : public jsonrpc::IClientConnector
{
public:
    explicit FunctionConnector(const std::function<void(const std::string &)> &send)
        : m_send(send)
    {
    }

    void SendRPCMessage(const std::string &message, std::string &) // NOLINT: the library's name
        throw(jsonrpc::JsonRpcException) override
    {
        m_send(message);
    }

private:
    const std::function<void(const std::string &)> &m_send;
};

} // namespace

void sendJsonRpcNotification(const std::string &method, const std::string &parameter,
                             const std::string &value,
                             const std::function<void(const std::string &message)> &send)
{
    FunctionConnector connector(send);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    Json::Value parameters;
    parameters[parameter] = value;
    client.CallNotification(method, parameters);
}

} // namespace berylridge
