// One connection of a caller: reads its requests one after another and writes their answers.
#pragma once

#include "Deadline.h"
#include "Screening.h"
#include "berylridge/Net/Asio.h"
#include "berylridge/Net/Problem.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace berylridge {

class Exchange;
class TrafficThread;

class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(TrafficThread &thread, tcp::socket socket);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    /// received: what was read from the connection so far, and the decision on it.
    void start(std::string_view received, ShedDecision decision);

    /// Queues bytes of an answer; written is called once the operating system has taken them.
    void write(std::string bytes, std::function<void()> written);

    /// The request's answer is written: goes on to the next request, or closes.
    void endExchange(bool keepAlive);

    /// Closes at once, so that the caller sees that its answer is incomplete.
    void abortConnection();

    bool hasPendingWrite() const { return !m_writeQueue.empty(); }

private:
    enum class State : std::uint8_t {
        Idle,    ///< Between requests.
        Reading, ///< A request is coming in.
        Waiting, ///< For the answer, or while it streams.
        Closing,
    };

    /// Bytes of an answer on their way out.
    struct PendingWrite
    {
        std::string bytes;
        std::function<void()> written;
    };

    void awaitRequest();
    void waitReadable();
    void onReadable(error_code error);
    /// Reads a request's first bytes, and refuses it where it is shed.
    void readAndScreen();
    void writeImmediateResponse(const Screening &screening);
    void waitIdle();
    void checkForDisconnect();
    void readHead();
    void onHead(error_code error);
    void rejectOverloaded(std::string_view requestId);
    void readRest();
    void onRequest();
    /// Whether bytes or the end wait to be read, without taking them.
    error_code peek();
    bool hasCallerDisconnected();
    void onReadError(error_code error);
    void beginExchange();
    void sendProblem(const Problem &problem, bool keepAlive, std::string_view requestId = {});
    void writeFront();
    void onWritten(error_code error);
    void onCallerDisconnected();
    void linger();
    void discardInput();
    void close();

    TrafficThread &m_thread;
    tcp::socket m_socket;
    std::shared_ptr<Deadline> m_deadline;
    beast::flat_buffer m_buffer;
    std::unique_ptr<http::request_parser<http::string_body>> m_parser;
    std::shared_ptr<Exchange> m_exchange;
    std::deque<PendingWrite> m_writeQueue;
    State m_state = State::Idle;
    ShedDecision m_shedDecision = ShedDecision::Undecided; ///< On the request that is being read.
    bool m_isWaitingReadable = false;
    bool m_isReadTimedOut = false;
    bool m_isRequestComplete = false; ///< Refused, with all its bytes here.
    bool m_isWriteActive = false;
};

} // namespace berylridge
