// Serves one connection of a caller: reads its requests one after another and writes the responses.
#pragma once

#include "CallerMemory.h"
#include "Deadline.h"
#include "EarlyShedding.h"
#include "RequestParser.h"
#include "berylridge/Net/Asio.h"
#include "berylridge/Net/Problem.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
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

    /// Starts with the bytes received so far and the shedding decision on them.
    void start(std::string_view received, ShedDecision decision);

    /// Queues bytes of a response. Calls `written` once the operating system has accepted them.
    void write(std::string bytes, std::function<void()> written);

    /// Called when the response is completely written: continues with the next request, or closes
    /// the connection.
    void endExchange(bool keepAlive);

    /// Closes the connection immediately, so that the caller sees that the response is incomplete.
    /// The reason is reported like the type of a problem.
    void abortConnection(const std::string &reason);

    /// Returns whether a request has arrived, at least in part, that nothing was written for yet.
    bool hasRequest();

    bool hasPendingWrite() const { return !m_writeQueue.empty(); }

    /// Returns the state of the connection; nothing if it has a complete request.
    std::optional<WaitingConnection> waitingConnection() const;
    /// Closes a connection without a complete request immediately. A new connection, or a request
    /// that has begun, is rejected, as far as the system takes the response at once.
    void closeForOthers();
    /// Returns the request that is being received, or the bytes that follow a complete one and are
    /// not read any more; nothing if there are none.
    std::optional<PartialRequest> partialRequest() const;
    /// Rejects the request that is being received and frees its memory. With bytes that follow a
    /// complete request, closes the connection.
    void rejectPartialRequest();

    /// Returns whether the session waits for the caller to close after the last response.
    bool isLingering() const { return m_isLingering; }

private:
    enum class State : std::uint8_t {
        Idle,    ///< Between requests.
        Reading, ///< Receiving a request.
        Waiting, ///< Waiting for the response or streaming it.
        Closing,
    };

    /// Bytes of a response that are queued for writing.
    struct PendingWrite
    {
        std::string bytes;
        std::function<void()> written;
    };

    void awaitRequest();
    void waitReadable();
    void onReadable(error_code error);
    /// Reads the first bytes of a request and rejects the request if it is shed.
    void readAndTryEarlyShed();
    void writeImmediateResponse(const EarlyShedResult &shedResult);
    void waitIdle();
    void checkForDisconnect();
    void readHead();
    void startReadTimeout();
    void receiveHead();
    void parseHead();
    void onHead();
    void rejectOverloaded(const CallerIdentity &caller);
    void receiveBody();
    void parseKeptBytes();
    /// Parses bytes of the body as far as possible. Returns how many were parsed.
    std::size_t parseBody(std::string_view bytes, error_code &error);
    void onBodyBytes(const error_code &error);
    void updateMemory();
    void onRequest();
    /// Checks for readable data without consuming it. Returns success if bytes are pending,
    /// would_block if nothing is, else the error or the end of the stream.
    error_code peek();
    bool hasCallerDisconnected();
    void onParserError(const error_code &error);
    void onReadTimeout();
    void beginExchange();
    void refuseAsLeaving(std::string_view requestId);
    void sendProblem(const Problem &problem, bool keepAlive, std::string_view requestId = {});
    /// Returns the response to a rejected request, which is counted in the metrics.
    std::string serializeProblem(const Problem &problem, bool keepAlive,
                                 std::string_view requestId);
    void writeFront();
    void onWritten(error_code error);
    void onCallerDisconnected();
    void linger();
    void discardInput();
    void countClosed();
    void close();

    TrafficThread &m_thread;
    tcp::socket m_socket;
    std::shared_ptr<Deadline> m_deadline;
    beast::flat_buffer m_buffer; ///< Bytes that are not parsed yet.
    std::unique_ptr<RequestParser> m_parser;
    CallerBytes m_memory;           ///< Of the buffer and of the request that is being received.
    CredentialKey m_credential = 0; ///< Of the same, once its head is complete.
    Deadline::Clock::time_point m_requestStart; ///< Of the same.
    Deadline::Clock::time_point m_idleSince;    ///< While idle.
    std::shared_ptr<Exchange> m_exchange;
    std::deque<PendingWrite> m_writeQueue;
    State m_state = State::Idle;
    ShedDecision m_shedDecision = ShedDecision::Undecided; ///< For the request that is being read.
    bool m_isWaitingReadable = false;
    std::size_t m_discardableBytes = 0; ///< Left to be read after the last response.
    bool m_hasStarted = false;
    bool m_isPaused = false;   ///< Reads no more pipelined bytes until the response is complete.
    bool m_hadRequest = false; ///< A request has begun on this connection.
    bool m_isRequestComplete = false; ///< The request was rejected after all its bytes had arrived.
    bool m_isWriteActive = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
};

} // namespace berylridge
