// The only file that includes libjsonrpccpp's client; it is compiled as C++14 (see the header).
#include "berylridge/Admin/RpcClient.h"

#include <jsonrpccpp/client.h>

namespace berylridge {

namespace {

class TransportConnector : public jsonrpc::IClientConnector
{
public:
    explicit TransportConnector(const RpcTransport &transport)
        : m_transport(transport)
    {
    }

    /// Stores the transport's failure instead of throwing it: the base class permits only one
    /// exception type, whose message the library would prefix with its own text.
    void SendRPCMessage(const std::string &message, std::string &result) noexcept override // NOLINT
    {
        try {
            if (m_transport(message, result))
                return;
            m_failure = result;
        } catch (const std::exception &error) {
            m_failure = error.what();
        }
        result.clear();
    }

    const std::string &failure() const { return m_failure; }

private:
    const RpcTransport &m_transport;
    std::string m_failure;
};

/// Returns the message without the text for its error code, which the library prepends at both ends
/// of the call.
std::string messageWithoutPrefix(const jsonrpc::JsonRpcException &error)
{
    std::string message = error.GetMessage();
    const std::string prefix = jsonrpc::Errors::GetErrorMessage(error.GetCode()) + ": ";
    while (prefix.size() > 2 && message.compare(0, prefix.size(), prefix) == 0)
        message.erase(0, prefix.size());
    return message;
}

} // namespace

RpcReply callRpc(const RpcTransport &transport, const std::string &method,
                 const Json::Value &parameters)
{
    TransportConnector connector(transport);
    RpcReply reply;
    try {
        jsonrpc::Client client(connector);
        client.CallMethod(method, parameters, reply.result);
        reply.isSuccess = true;
    } catch (const jsonrpc::JsonRpcException &error) {
        reply.reason
            = connector.failure().empty() ? messageWithoutPrefix(error) : connector.failure();
    } catch (const std::exception &error) {
        reply.reason = error.what();
    }
    return reply;
}

} // namespace berylridge
