#include "EarlyShedding.h"

#include "HttpSerialization.h"

#include <boost/beast/http/parser.hpp>

namespace berylridge {

EarlyShedResult decideEarlyShed(std::string_view bytes, const EarlyShedOptions &options)
{
    http::request_parser<http::string_body> parser;
    error_code error;
    const std::size_t headSize = parser.put(asio::buffer(bytes), error);
    const auto &request = parser.get();
    if (error || !parser.is_header_done() || request.version() != 11
        || request.method() == http::verb::head
        || request.count(http::field::transfer_encoding) > 0)
        return {};
    const CallerIdentity caller = options.protocol.readCaller(request);
    if (!options.sheds(caller))
        return {ShedDecision::Admitted};
    EarlyShedResult shedResult {ShedDecision::Shed};
    const std::uint64_t bodySize = parser.content_length().value_or(0);
    // Additional bytes belong to the next request. If bytes are missing, the reset that they cause
    // on a closed connection would destroy the response.
    if (bytes.size() - headSize != bodySize)
        return shedResult;
    shedResult.isKeepAlive = options.isKeepAliveAllowed && request.keep_alive();
    StringResponse response = options.protocol.buildProblemResponse(
        options.problem(caller),
        caller.requestId.empty() ? options.placeholderRequestId
                                 : std::string_view(caller.requestId));
    response.keep_alive(shedResult.isKeepAlive);
    shedResult.immediateResponse = serializeHttp(response);
    return shedResult;
}

} // namespace berylridge
