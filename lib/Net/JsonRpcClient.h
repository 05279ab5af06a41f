// The client side of libjsonrpccpp. Its headers are from before C++17, so this header and its body
// are plain C++14 and the rest of the code sees no more than this function.
#pragma once

#include <functional>
#include <string>

namespace berylridge {

/// Makes a JSON-RPC 2.0 notification with one text parameter and hands it to send, which is the
/// library's client connector: it queues the message and returns.
void sendJsonRpcNotification(const std::string &method, const std::string &parameter,
                             const std::string &value,
                             const std::function<void(const std::string &message)> &send);

} // namespace berylridge
