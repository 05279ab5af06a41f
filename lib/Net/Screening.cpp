#include "Screening.h"

#include "WireText.h"

#include <boost/beast/http/parser.hpp>

namespace berylridge {

Screening screenRequest(std::string_view bytes, const ScreeningRules &rules)
{
    http::request_parser<http::string_body> parser;
    error_code error;
    const std::size_t headSize = parser.put(asio::buffer(bytes), error);
    const auto &request = parser.get();
    if (error || !parser.is_header_done() || request.version() != 11
        || request.method() == http::verb::head
        || request.count(http::field::transfer_encoding) > 0)
        return {};
    const CallerNames caller = rules.protocol.readCaller(request);
    if (!rules.sheds(caller.credential))
        return {ShedDecision::Kept};
    Screening screening {ShedDecision::Shed};
    const std::uint64_t bodySize = parser.content_length().value_or(0);
    // More bytes are of the next request, and fewer would be cut off by a reset with the answer.
    if (bytes.size() - headSize != bodySize)
        return screening;
    screening.isConnectionKept = rules.keepsConnection && request.keep_alive();
    StringResponse response = rules.protocol.problemAnswer(
        rules.problem(),
        caller.requestId.empty() ? rules.unknownId : std::string_view(caller.requestId));
    response.keep_alive(screening.isConnectionKept);
    screening.answer = wireText(response);
    return screening;
}

} // namespace berylridge
