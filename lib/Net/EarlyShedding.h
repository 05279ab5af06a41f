// Decides whether an overloaded thread sheds a request, from the bytes that are available when its
// connection becomes readable.
//
// Early shedding serves the case of a node that receives ten times the load that it can handle. If
// the requests that it can't serve passed through a session, a parser and several event loop
// iterations before they are rejected, they would use all of the thread's processor time.
#pragma once

#include "berylridge/Net/WireProtocol.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace berylridge {

enum class ShedDecision : std::uint8_t {
    Undecided, ///< Not decided: the head is incomplete or needs further checks.
    Admitted,
    Shed,
};

struct EarlyShedResult
{
    ShedDecision decision = ShedDecision::Undecided;
    /// The complete response; set only if the request is shed and has arrived completely with no
    /// bytes after it.
    std::optional<std::string> immediateResponse {};
    bool isKeepAlive = false; ///< Whether the connection stays open after the response.
};

struct EarlyShedOptions
{
    const WireProtocolHandle &protocol;
    /// Counts a request of the caller and returns whether to shed it.
    std::function<bool(const CallerIdentity &)> sheds;
    /// Creates the problem for a shed request of the caller.
    std::function<Problem(const CallerIdentity &)> problem;
    std::string_view placeholderRequestId; ///< Used if the caller sent no request id.
    bool isKeepAliveAllowed = false;       ///< Applies only if the caller requests keep-alive too.
};

EarlyShedResult decideEarlyShed(std::string_view bytes, const EarlyShedOptions &options);

} // namespace berylridge
