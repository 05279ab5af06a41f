// Carries a JSON-RPC body to a router's administration listener and back.
#pragma once

#include "berylridge/Admin/RpcClient.h"
#include "berylridge/Support/Endpoint.h"

#include <chrono>
#include <string>

namespace berylridge::ctl {

/// One connection a call. The time limit holds for the whole call.
RpcTransport httpTransport(const Endpoint &router, const std::string &operatorsKey,
                           std::chrono::milliseconds timeout);

} // namespace berylridge::ctl
