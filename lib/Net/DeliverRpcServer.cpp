#include "DeliverRpcServer.h"

#include "berylridge/Net/Base64.h"

#include <jsonrpccpp/server.h>
#include <utility>

namespace berylridge {

/// Implements the library's server connector for requests that the peer listener has read.
class DeliverRpcServer::Connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }                 // NOLINT: the library's name
    bool StopListening() override { return true; }                  // NOLINT: the library's name
    bool SendResponse(const std::string &response, void *) override // NOLINT: the library's name
    {
        m_response = response;
        return true;
    }

    std::string handleRequest(const std::string &request)
    {
        m_response.clear();
        OnRequest(request);
        return std::move(m_response);
    }

private:
    std::string m_response;
};

class DeliverRpcServer::Methods : public jsonrpc::AbstractServer<DeliverRpcServer::Methods>
{
public:
    Methods(Connector &connector, std::function<void(const std::string &)> onDatagram)
        : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2)
        , m_onDatagram(std::move(onDatagram))
    {
        bindAndAddNotification(jsonrpc::Procedure(deliverMethod, jsonrpc::PARAMS_BY_NAME,
                                                  deliverParameter, jsonrpc::JSON_STRING, nullptr),
                               &Methods::deliver);
    }

private:
    void deliver(const Json::Value &parameters)
    {
        const auto datagram = decodeBase64(parameters[deliverParameter].asString());
        m_onDatagram(datagram.value_or(std::string()));
    }

    std::function<void(const std::string &)> m_onDatagram;
};

DeliverRpcServer::DeliverRpcServer(std::function<void(const std::string &)> deliver)
    : m_connector(std::make_unique<Connector>())
    , m_methods(std::make_unique<Methods>(*m_connector, std::move(deliver)))
{
}

DeliverRpcServer::~DeliverRpcServer() = default;

Expected<std::string> DeliverRpcServer::handle(const std::string &request)
{
    try {
        return m_connector->handleRequest(request);
    } catch (const Json::Exception &error) {
        // jsoncpp throws on deep nesting and when the library uses a member as the wrong type.
        return Reason {std::string("not a call: ") + error.what()};
    }
}

} // namespace berylridge
