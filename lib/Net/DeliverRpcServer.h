// Serves the JSON-RPC method "deliver", with which nodes send messages that are too large for a
// datagram.
#pragma once

#include "berylridge/Support/Expected.h"

#include <functional>
#include <memory>
#include <string>

namespace berylridge {

class DeliverRpcServer
{
public:
    /// Calls deliver with the bytes of each datagram, whose authenticator isn't verified yet.
    explicit DeliverRpcServer(std::function<void(const std::string &)> deliver);
    ~DeliverRpcServer();

    /// Handles the body of one POST /rpc and returns the response's body, or the reason if the
    /// body is not a call.
    Expected<std::string> handle(const std::string &request);

private:
    class Connector;
    class Methods;
    std::unique_ptr<Connector> m_connector;
    std::unique_ptr<Methods> m_methods;
};

/// The method, and its parameter: a datagram in base64.
inline constexpr const char *deliverMethod = "deliver";
inline constexpr const char *deliverParameter = "datagram";

} // namespace berylridge
