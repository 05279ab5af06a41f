// Serves the operators' listener: health checks, metrics and JSON-RPC.
#pragma once

#include "HttpListener.h"
#include "berylridge/Net/Asio.h"

#include "berylridge/Net/RouterNode.h"

#include <functional>
#include <string>

namespace berylridge {

/// Runs on the control thread.
class AdminHttpServer
{
public:
    struct Handlers
    {
        std::function<bool()> isReady;
        std::function<std::string()> metrics;
        RpcHandler rpc; ///< Optional.
        std::string operatorsKeyDigest;
    };

    AdminHttpServer(asio::io_context &context, Handlers handlers);

    std::string listen(const Endpoint &endpoint) { return m_listener.listen(endpoint); }
    Endpoint endpoint() const { return m_listener.endpoint(); }
    std::uint64_t reclaimedConnections() const { return m_listener.reclaimedConnections(); }

private:
    StringResponse handleRequest(const StringRequest &request) const;
    StringResponse handleRpcRequest(const StringRequest &request) const;
    bool isOperator(const StringRequest &request) const;

    Handlers m_handlers;
    HttpListener m_listener;
};

} // namespace berylridge
