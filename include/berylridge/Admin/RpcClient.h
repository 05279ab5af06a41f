// A call by JSON-RPC 2.0 through libjsonrpccpp's client, over any transport. The library's client
// headers carry dynamic exception specifications, which C++17 dropped: this face hides them, is
// itself C++14, and its body is compiled as such.
#pragma once

#include <functional>
#include <json/value.h>
#include <string>

namespace berylridge {

/// Sends a request body and puts the response's body into its second argument; on failure returns
/// false and puts the reason there.
using RpcTransport = std::function<bool(const std::string &request, std::string &response)>;

struct RpcReply
{
    bool isSuccess = false;
    Json::Value result;
    std::string reason; ///< Why it failed; empty where it is fine.
};

/// Never throws.
RpcReply callRpc(const RpcTransport &transport, const std::string &method,
                 const Json::Value &parameters);

} // namespace berylridge
