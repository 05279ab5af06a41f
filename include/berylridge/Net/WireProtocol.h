// How requests and answers look in HTTP: the names of fields and what they mean. The shell forwards
// by it; the product's own protocol is one, an adapter for a foreign platform brings another.
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

/// What the shell knows of an attempt when it writes the request's head for the target.
struct AttemptIds
{
    std::string_view requestId;
    std::string_view attemptId;   ///< Unique to this attempt.
    std::string_view lastEventId; ///< Of the last event that the caller has; empty for none.
};

/// What a target's answer head says.
struct ResponseInfo
{
    bool isForThisRequest
        = true;           ///< False for a late answer to an earlier request on the connection.
    bool isUsable = true; ///< False where the answer can't be what the target meant to say.
    /// NotRun, OtherTarget or TargetError where the answer is a failure: the core decides what
    /// becomes of the request, and the caller sees nothing of it yet.
    std::optional<AttemptFailure> failure;
    bool isRelayable = true;            ///< Whether a TargetError may reach the caller as it is.
    std::string bootId;                 ///< Of the target; empty where it doesn't tell.
    std::optional<Duration> coldFor {}; ///< How long the target says that it stays cold.
};

/// Who sends a request, as its head says.
struct CallerIdentity
{
    std::string requestId;  ///< Empty where the caller gave none.
    std::string credential; ///< The workspace's key; empty where there is none.
};

/// Choices of a protocol that the shell itself acts on.
struct WireProtocolTraits
{
    bool streamsEndWithDoneEvent = true;   ///< A stream is whole only after `data: [DONE]`.
    bool acceptsUnframedResponses = false; ///< An answer without a length ends with its connection.
    bool ignoresTrailingBytes = false;     ///< Bytes after a whole answer only end the connection.
    /// A small answer is passed on when it is whole, so that one cut short can be tried again.
    bool buffersSmallResponses = false;
};

/// What the shell needs of a protocol. Used by all traffic threads at once: it must not change.
template <typename T>
concept WireProtocol
    = requires(const T &protocol, const StringRequest &request, std::string_view text,
               const Dispatch &dispatch, const AttemptIds &names, RequestHead &requestHead,
               const ResponseHead &answerHead, CallerResponseHead &callerHead,
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
    protocol.completeRequestHead(request, dispatch, names, requestHead);
    {
        protocol.readResponseHead(answerHead, names)
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

/// A protocol as the shell holds it; the protocol itself must outlive it.
struct WireProtocolHandle
{
    /// From the request's head; its body need not have been read.
    std::function<CallerIdentity(const StringRequest &)> readCaller;
    /// The event for a request that was read whole, without its handle; or why it is refused.
    std::function<std::variant<RequestArrived, Problem>(const StringRequest &,
                                                        std::string_view generatedId)>
        readRequest;
    /// Whether a field of the caller's request goes to the target as it is.
    std::function<bool(std::string_view)> forwardsRequestField;
    /// Adds the fields that the router sets itself.
    std::function<void(const StringRequest &, const Dispatch &, const AttemptIds &, RequestHead &)>
        completeRequestHead;
    std::function<ResponseInfo(const ResponseHead &, const AttemptIds &)> readResponseHead;
    /// Whether a field of the target's answer goes to the caller as it is.
    std::function<bool(std::string_view)> forwardsResponseField;
    std::function<void(std::string_view requestId, CallerResponseHead &)> completeResponseHead;
    /// The whole answer that the router gives itself; its Content-Length is set.
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
                            const AttemptIds &names, RequestHead &head) {
                    protocol.completeRequestHead(request, dispatch, names, head);
                },
                [&protocol](const ResponseHead &head, const AttemptIds &names) {
                    return protocol.readResponseHead(head, names);
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

/// The product's own protocol (docs/design/protocols.md).
const WireProtocolHandle &nativeProtocol();

} // namespace berylridge
