// Whether a busy thread turns a request away, decided by the bytes that are there when its
// connection becomes readable.
//
// Load it answers: a node is sent ten times what it bears. Refused by way of a session, a parser
// and several turns of the thread, the requests that it can't serve take its whole processor.
#pragma once

#include "berylridge/Net/WireProtocol.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace berylridge {

enum class ShedDecision : std::uint8_t {
    Undecided, ///< Not taken: the head isn't here to its end, or needs a closer look.
    Admitted,
    Shed,
};

struct Screening
{
    ShedDecision decision = ShedDecision::Undecided;
    /// The whole immediateResponse, where the request is shed and here to its end with nothing
    /// behind it.
    std::optional<std::string> immediateResponse {};
    bool isKeepAlive = false; ///< After the immediateResponse.
};

struct ScreeningOptions
{
    const WireProtocolHandle &protocol;
    /// Counts a request with the credential, and says whether it is shed.
    std::function<bool(std::string_view credential)> sheds;
    std::function<Problem()> problem;      ///< Of a shed request.
    std::string_view placeholderRequestId; ///< Stands for an id that the caller didn't give.
    bool isKeepAliveAllowed = false;       ///< If the caller wants that too.
};

Screening screenRequest(std::string_view bytes, const ScreeningOptions &options);

} // namespace berylridge
