// One caller's request from its arrival to the end of its answer, over all attempts at targets.
#pragma once

#include "EventStream.h"
#include "TargetAttempt.h"
#include "berylridge/Net/Asio.h"

#include "berylridge/Router/Actions.h"
#include "berylridge/Router/Events.h"

#include <boost/beast/http/empty_body.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace berylridge {

class CallerSession;
class TrafficThread;

/// A target's answer that is held back: a failure until the core has decided, and a small one until
/// it is whole.
struct HeldAnswer
{
    std::optional<AttemptFailure> failure;
    std::string body;
    bool isWhole = false;
    bool isPassable = false; ///< A failure that may reach the caller as it is.
};

/// Lives on its traffic thread. Where the caller leaves while an attempt runs, the attempt goes on
/// until the core aborts it: the answer may have to be kept for repeats of its key.
class Exchange : public AttemptOwner, public std::enable_shared_from_this<Exchange>
{
public:
    /// Larger answers are not kept for repeats.
    static constexpr std::size_t keptLimit = 64 << 10;

    Exchange(TrafficThread &thread, std::shared_ptr<CallerSession> session,
             const RequestArrived &arrived, StringRequest request);

    void dispatch(const Dispatch &order);
    void abort(AttemptNumber attempt);
    void refuse(const Refuse &order);
    void answerKept(const SendStoredResponse &order);
    void passAnswer(const RelayHeldResponse &order);
    void callerGone();

    AnswerFacts inspect(const AnswerHead &head) const override;
    std::optional<AttemptFailure> acceptHead(const AnswerHead &head, bool hasBody) override;
    std::optional<AttemptFailure> acceptBody(std::string_view bytes, bool isEnd) override;
    void attemptFailed(AttemptFailure failure, bool sentAny) override;

private:
    TargetRequest targetRequest(const Dispatch &order) const;
    std::string attemptId() const;
    void hold(std::string_view bytes, bool isEnd);
    void reportHeldFailure();
    void buildHead(const AnswerHead &head, bool hasBody);
    void appendBody(std::string_view bytes, bool isEnd, std::string &out);
    std::string takeIn(std::string_view bytes, bool isEnd);
    void passOn(std::string_view bytes, bool isEnd);
    void finish(std::string lastBytes);
    void reportDone();
    void keep(std::string_view bytes);
    void answer(StringResponse response, Verdict verdict);
    void countFirstByte();
    void end(Verdict verdict);
    bool isKept() const;

    TrafficThread &m_thread;
    std::shared_ptr<CallerSession> m_session; ///< Empty once the caller has gone.
    const RequestHandle m_handle;
    const std::string m_requestId;
    const std::string m_path;
    const std::string m_callersLastId; ///< Of the last event that the caller had before.
    const StringRequest m_request;
    /// Decided once: an answer whose head keeps the connection must not be followed by its end,
    /// which would meet the caller's next request.
    const bool m_keepsConnection;
    const std::chrono::steady_clock::time_point m_arrival;
    std::shared_ptr<TargetAttempt> m_attempt;
    Dispatch m_order;
    http::response<http::empty_body> m_head; ///< As the caller gets it.
    std::string m_bootId;
    std::optional<EventStream> m_stream;
    std::optional<std::string> m_kept;
    std::optional<HeldAnswer> m_held;
    std::optional<Duration> m_coldFor; ///< As the last answer said.
    std::uint64_t m_bodyBytes = 0;
    bool m_isBegun = false; ///< Part of an answer was handed to the caller's connection.
    bool m_awaitsWrite = false;
};

} // namespace berylridge
