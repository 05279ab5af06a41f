// Wraps the client of libjsonrpccpp. The library's headers predate C++17, so this header and its
// implementation are plain C++14, and other code uses only this function.
#pragma once

#include <functional>
#include <string>

namespace berylridge {

/// Builds a JSON-RPC 2.0 notification with one string parameter and passes it to send, which queues
/// the message and returns.
void sendJsonRpcNotification(const std::string &method, const std::string &parameter,
                             const std::string &value,
                             const std::function<void(const std::string &message)> &send);

} // namespace berylridge
