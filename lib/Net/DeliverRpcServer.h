// The JSON-RPC method "deliver", by which nodes send what is too large for a datagram.
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace berylridge {

class DeliverRpcServer
{
public:
    /// Called with the bytes of each sealed datagram; they are not yet authenticated.
    explicit DeliverRpcServer(std::function<void(const std::string &)> deliver);
    ~DeliverRpcServer();

    /// Takes in the body of one POST /rpc; the answer's body.
    std::string handle(const std::string &request);

private:
    class Connector;
    class Methods;
    std::unique_ptr<Connector> m_connector;
    std::unique_ptr<Methods> m_methods;
};

/// The parameter of "deliver": base64 of a sealed datagram.
inline constexpr const char *deliverMethod = "deliver";
inline constexpr const char *deliverParameter = "datagram";

} // namespace berylridge
