// Calls a JSON-RPC 2.0 method through libjsonrpccpp's client, over any transport. The library's
// client headers have dynamic exception specifications, which C++17 removed. This header hides
// them: it is valid C++14, and its implementation is compiled as C++14.
#pragma once

#include <functional>
#include <json/value.h>
#include <string>

namespace berylridge {

/// Sends a request body and stores the response's body in its second argument. On failure it
/// returns false and stores the reason there.
using RpcTransport = std::function<bool(const std::string &request, std::string &response)>;

struct RpcReply
{
    bool isSuccess = false;
    Json::Value result;
    std::string reason; ///< Why the call failed; empty on success.
};

/// Never throws.
RpcReply callRpc(const RpcTransport &transport, const std::string &method,
                 const Json::Value &parameters);

} // namespace berylridge
