// Defines the interface to an HTTP mapping: the names of header fields and their meaning. The
// shell, which is the networking code around the decision core, uses it to forward requests and
// responses. The product's native protocol is one implementation; an adapter for a foreign platform
// provides another.
#pragma once

#include "berylridge/Net/Asio.h"
#include "berylridge/Net/Problem.h"
#include "berylridge/Router/Actions.h"
#include "berylridge/Router/Events.h"

#include <boost/beast/http/empty_body.hpp>
#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace berylridge {

using ResponseHead = http::response_header<>;
using RequestHead = http::request<http::empty_body>;
using CallerResponseHead = http::response<http::empty_body>;

/// Identifiers that the shell passes when it builds a request head for the target.
struct AttemptIds
{
    std::string_view requestId;
    std::string_view attemptId;   ///< Unique to this attempt.
    std::string_view lastEventId; ///< Id of the last event that the caller received; empty if none.
};

/// Properties of a target's response head.
struct ResponseInfo
{
    bool isForThisRequest
        = true;           ///< False for a late response to an earlier request on the connection.
    bool isUsable = true; ///< False if the response is inconsistent and must not be used.
    /// Set to NotRun, OtherTarget or TargetError if the response reports a failure: the core then
    /// decides how the request continues, and nothing is sent to the caller yet.
    std::optional<AttemptFailure> failure;
    bool isRelayable = true; ///< Whether a TargetError may be relayed to the caller unchanged.
    std::string bootId;      ///< Boot id of the target; empty if it sends none.
    TargetAdvice advice {};
};

/// Identity of a request's sender, from the request head.
struct CallerIdentity
{
    std::string requestId;  ///< Empty if the caller sent none.
    std::string credential; ///< The workspace's key; empty if there is none.
    bool hasPrompt = false; ///< The request has a prompt, and counts towards a share.
};

/// Properties of a protocol that the shell itself depends on.
struct WireProtocolTraits
{
    bool streamsEndWithDoneEvent = true; ///< Only `data: [DONE]` completes a stream.
    bool acceptsUnframedResponses
        = false; ///< The end of the connection ends a response without a length.
    bool ignoresTrailingBytes = false; ///< Bytes after a complete response only end the connection.
    /// A small response is relayed only when it is complete, so that a truncated one can be
    /// retried.
    bool buffersSmallResponses = false;
};

/// Requirements of the shell on a protocol. All traffic threads use it concurrently, so it must be
/// immutable.
template <typename T>
concept WireProtocol
    = requires(const T &protocol, const StringRequest &request, std::string_view text,
               const Dispatch &dispatch, const AttemptIds &ids, RequestHead &requestHead,
               const ResponseHead &responseHead, CallerResponseHead &callerHead,
               const Problem &problem)
{
    {
        protocol.readCaller(request)
        } -> std::same_as<CallerIdentity>;
    {
        protocol.readRequest(request, text)
        } -> std::same_as<std::variant<RequestArrived, Problem>>;
    {
        protocol.forwardsRequestField(text)
        } -> std::same_as<bool>;
    protocol.completeRequestHead(request, dispatch, ids, requestHead);
    {
        protocol.readResponseHead(responseHead, ids)
        } -> std::same_as<ResponseInfo>;
    {
        protocol.forwardsResponseField(text)
        } -> std::same_as<bool>;
    protocol.completeResponseHead(text, callerHead);
    {
        protocol.buildProblemResponse(problem, text)
        } -> std::same_as<StringResponse>;
    {
        protocol.traits()
        } -> std::same_as<WireProtocolTraits>;
};

/// Type-erased reference to a protocol, which must outlive the handle.
struct WireProtocolHandle
{
    /// Reads the request's head; the body need not have been received.
    std::function<CallerIdentity(const StringRequest &)> readCaller;
    /// Converts a completely received request into an event, without its handle, or into the
    /// problem with which it is rejected.
    std::function<std::variant<RequestArrived, Problem>(const StringRequest &,
                                                        std::string_view generatedId)>
        readRequest;
    /// Returns whether a field of the caller's request is forwarded to the target unchanged.
    std::function<bool(std::string_view)> forwardsRequestField;
    /// Adds the fields that the router itself sets.
    std::function<void(const StringRequest &, const Dispatch &, const AttemptIds &, RequestHead &)>
        completeRequestHead;
    std::function<ResponseInfo(const ResponseHead &, const AttemptIds &)> readResponseHead;
    /// Returns whether a field of the target's response is forwarded to the caller unchanged.
    std::function<bool(std::string_view)> forwardsResponseField;
    std::function<void(std::string_view requestId, CallerResponseHead &)> completeResponseHead;
    /// Builds a complete response of the router itself, with its Content-Length.
    std::function<StringResponse(const Problem &, std::string_view requestId)> buildProblemResponse;
    WireProtocolTraits traits;

    template <WireProtocol T>
    static WireProtocolHandle of(const T &protocol)
    {
        return {[&protocol](const StringRequest &request) { return protocol.readCaller(request); },
                [&protocol](const StringRequest &request, std::string_view generatedId) {
                    return protocol.readRequest(request, generatedId);
                },
                [&protocol](std::string_view name) { return protocol.forwardsRequestField(name); },
                [&protocol](const StringRequest &request, const Dispatch &dispatch,
                            const AttemptIds &ids, RequestHead &head) {
                    protocol.completeRequestHead(request, dispatch, ids, head);
                },
                [&protocol](const ResponseHead &head, const AttemptIds &ids) {
                    return protocol.readResponseHead(head, ids);
                },
                [&protocol](std::string_view name) { return protocol.forwardsResponseField(name); },
                [&protocol](std::string_view requestId, CallerResponseHead &head) {
                    protocol.completeResponseHead(requestId, head);
                },
                [&protocol](const Problem &problem, std::string_view requestId) {
                    return protocol.buildProblemResponse(problem, requestId);
                },
                protocol.traits()};
    }
};

/// Returns the product's native protocol (docs/design/protocols.md).
const WireProtocolHandle &nativeProtocol();

} // namespace berylridge
