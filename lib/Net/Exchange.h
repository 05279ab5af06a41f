// Handles one caller's request from its arrival to the end of its response, across all attempts at
// targets.
#pragma once

#include "CallerMemory.h"
#include "EventStream.h"
#include "HeldBytes.h"
#include "TargetAttempt.h"
#include "berylridge/Net/Asio.h"
#include "berylridge/Policy/LoadShedder.h"

#include "berylridge/Router/Actions.h"
#include "berylridge/Router/Events.h"

#include <boost/beast/http/empty_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace berylridge {

class CallerSession;
class TrafficThread;

/// A target's response that is held back: an error until the core has decided what to do, a small
/// response until it is complete.
struct HeldResponse
{
    std::optional<AttemptFailure> failure;
    unsigned status = 0; ///< Status of an error; 0 otherwise.
    std::string body;
    bool isComplete = false;
    bool isRelayable = false; ///< Whether an error may be relayed to the caller unchanged.
};

/// Runs on its traffic thread. If the caller disconnects during an attempt, the attempt continues
/// until the core aborts it, because the response may have to be stored for repeats of its
/// idempotency key.
class Exchange : public AttemptOwner, public std::enable_shared_from_this<Exchange>
{
public:
    /// Larger responses are not stored for repeats of an idempotency key, and larger errors are not
    /// held.
    static constexpr std::size_t maxStoredResponseBytes = 64 << 10;

    Exchange(TrafficThread &thread, std::shared_ptr<CallerSession> session,
             const RequestArrived &arrived, StringRequest request);

    /// Counts the memory of the request, until the exchange ends.
    void countRequestBytes(std::size_t bytes) { m_requestBytes.resize(bytes); }
    void dispatch(const Dispatch &command);
    void continueAttempt(const ContinueAttempt &command);
    void abort(AttemptNumber attempt);
    void refuse(const Refuse &command);
    void sendStoredResponse(const SendStoredResponse &command);
    void relayHeldResponse(const RelayHeldResponse &command);
    void onCallerDisconnected();

    bool isTargetHeld() const override;
    ResponseInfo inspect(const ResponseHead &head) const override;
    void onTargetAdvice(unsigned status, const TargetAdvice &advice) override;
    std::optional<AttemptFailure> onResponseHead(const ResponseHead &head, bool hasBody) override;
    std::optional<AttemptFailure> onResponseBody(std::string_view bytes, bool isEnd) override;
    void onSilence(Duration silentFor) override;
    void onAttemptFailed(AttemptFailure failure, bool sentAny, Duration silentFor) override;
    /// Reports that the caller's connection is closed before the response is complete.
    void reportCut(const std::string &reason);

private:
    /// Only an event stream can continue at another target. Any other response would be joined from
    /// two different ones.
    bool canContinueElsewhere() const { return !m_isResponseStarted || m_stream; }
    TargetRequest targetRequest(const Dispatch &command) const;
    std::string attemptId() const;
    std::size_t countHeldBytes() const;
    bool canHold(std::size_t bytes);
    void updateHeldBytes() { m_heldBytes.resize(countHeldBytes()); }
    void writePiece(std::string out, std::size_t bodyBytes, std::function<void()> written);
    bool isBodyMissing(std::string_view bytes, bool isEnd) const;
    void bufferHeldBody(std::string_view bytes, bool isEnd, bool isHoldable);
    void reportHeldFailure();
    void buildResponseHead(const ResponseHead &head, bool hasBody);
    void appendBody(std::string_view bytes, bool isEnd, std::string &out);
    std::string encodeForCaller(std::string_view bytes, bool isEnd);
    void relayBody(std::string_view bytes, bool isEnd);
    void finish(std::string lastBytes);
    void reportAttemptDone();
    void storeBody(std::string_view bytes);
    void sendResponse(StringResponse response, Verdict verdict);
    void recordFirstByteLatency();
    void recordEstimateError();
    void end(Verdict verdict);
    bool shouldKeepAlive() const;

    TrafficThread &m_thread;
    std::shared_ptr<CallerSession> m_session; ///< Empty once the caller has disconnected.
    const RequestHandle m_handle;
    const std::string m_requestId;
    const std::string m_path;
    const CredentialKey m_credential;
    const bool m_hasPrompt;
    const std::string m_callerLastEventId; ///< Id of the last event that the caller had received
                                           ///< before this request.
    const StringRequest m_request;
    CallerBytes m_requestBytes;
    /// Decided once per request: a response whose head announces keep-alive must not be followed by
    /// closing the connection, which could hit the caller's next request.
    const bool m_isKeepAliveAllowed;
    const std::chrono::steady_clock::time_point m_arrival;
    std::shared_ptr<TargetAttempt> m_attempt;
    Dispatch m_dispatch;
    std::chrono::steady_clock::time_point m_dispatchedAt {}; ///< Start of the current attempt.
    http::response<http::empty_body> m_head; ///< The response head that the caller receives.
    std::string m_bootId;
    std::optional<EventStream> m_stream;
    std::optional<std::string> m_storedBody;
    std::optional<HeldResponse> m_heldResponse;
    HeldBytes m_heldBytes;
    std::size_t m_unwrittenBytes = 0; ///< Body bytes that the caller's connection hasn't accepted.
    std::uint64_t m_bodyBytes = 0;
    bool m_endsWithConnection = false; ///< The response has neither a length nor chunks.
    bool m_isFirstEventReported = false;
    bool m_isResponseStarted
        = false; ///< Whether part of a response was written to the caller's connection.
    bool m_isAwaitingWrite = false;
};

} // namespace berylridge
