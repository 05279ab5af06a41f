// Sends JSON-RPC requests to a router's administration listener.
#pragma once

#include "berylridge/Admin/RpcClient.h"
#include "berylridge/Support/Endpoint.h"

#include <chrono>
#include <string>

namespace berylridge::ctl {

/// Returns a transport that opens one connection per call. The timeout covers the whole call.
RpcTransport httpTransport(const Endpoint &router, const std::string &operatorsKey,
                           std::chrono::milliseconds timeout);

} // namespace berylridge::ctl
