// The operators' listener: health checks, metrics and JSON-RPC.
#pragma once

#include "HttpListener.h"
#include "berylridge/Net/Asio.h"

#include "berylridge/Net/RouterNode.h"

#include <functional>
#include <string>

namespace berylridge {

/// Lives on the control thread.
class AdminFace
{
public:
    struct Sources
    {
        std::function<bool()> isReady;
        std::function<std::string()> metrics;
        RpcHandler rpc; ///< May be empty.
        std::string operatorsKeyDigest;
    };

    AdminFace(asio::io_context &context, Sources sources);

    std::string listen(const Endpoint &endpoint) { return m_listener.listen(endpoint); }
    Endpoint endpoint() const { return m_listener.endpoint(); }

private:
    StringResponse answer(const StringRequest &request) const;
    StringResponse answerRpc(const StringRequest &request) const;
    bool isOperator(const StringRequest &request) const;

    Sources m_sources;
    HttpListener m_listener;
};

} // namespace berylridge
