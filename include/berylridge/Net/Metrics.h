// Keeps the counters and latency histograms of one process and prints them in the Prometheus text
// format.
#pragma once

#include "berylridge/Net/Datagram.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Support/Time.h"
#include "berylridge/Support/Verdict.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace berylridge {

/// Counts request latencies in logarithmic buckets (Boost.Histogram). Thread-safe.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void add(Duration latency);

    /// Appends the buckets, the sum and the count under the name.
    void print(const std::string &name, const std::string &help, std::string &out) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Counts messages and bytes of one kind in one direction.
struct MessageCounter
{
    std::atomic<std::uint64_t> messages {0};
    std::atomic<std::uint64_t> bytes {0};
};

/// Holds every value that /metrics shows, except the core's own state.
class Metrics
{
public:
    using Counter = std::atomic<std::uint64_t>;

    std::array<Counter, 3> requestsByVerdict {}; ///< Requests that ended, indexed by Verdict.
    Counter requestsReceived {0};
    Counter callerDisconnects {0};

    /// Requests that were read after their caller had closed the connection.
    Counter requestsReadAfterDisconnect {0};
    Counter connectionsAccepted {0};
    Counter acceptFailures {0};
    Counter trafficLagMicroseconds {0}; ///< The latest value from any traffic thread.
    Counter connectionsOpen {0};
    Counter connectionsRejected {0};
    Counter connectionsReclaimed {0};     ///< Closed in favour of new ones.
    Counter callerBytesHeld {0};          ///< Memory for callers' bytes, of all traffic threads.
    Counter requestsDroppedForMemory {0}; ///< Before they had arrived completely.
    Counter attemptsStarted {0};
    Counter attemptsFailed {0};
    Counter connectionsReused {0};
    Counter targetPausesRequested {0};  ///< Responses with a valid Retry-After.
    Counter targetPausesInvalid {0};    ///< Responses whose Retry-After can't be interpreted.
    Counter targetLeavingResponses {0}; ///< Responses of targets that shut down.
    Counter streamsTakenUp {0};         ///< Requests that continue a stream of the caller.
    Counter streamsContinued {0};       ///< Attempts that continue a stream within its response.
    /// Complete responses with neither a length nor chunks.
    Counter responsesEndedWithConnection {0};
    std::array<MessageCounter, peerMessageKindCount> sent {};
    std::array<MessageCounter, peerMessageKindCount> received {};
    Counter datagramsSent {0};
    Counter datagramsReceived {0};
    Counter datagramBytesSent {0};
    Counter datagramBytesReceived {0};

    /// Counts RPC calls between nodes, for messages that are too large for a datagram.
    Counter callsSent {0};
    Counter callBytesSent {0};
    Counter callsReceived {0};
    Counter callBytesReceived {0};

    Counter datagramsRejected {0};
    Counter controlConnectionsReclaimed {
        0}; ///< Of operators and nodes, closed in favour of others.
    Counter platformCalls {0};
    Counter targetPolls {0};
    Counter logLinesDropped {0};
    Counter controlEvents {0};
    LatencyHistogram firstByteLatency;
    LatencyHistogram requestLatency;
    /// Errors of Dispatch::expectedFirstByte.
    LatencyHistogram firstByteAfterEstimate;
    LatencyHistogram firstByteBeforeEstimate;

    /// Counts a rejected request under its problem type.
    void countRejectedRequest(const std::string &type);

    /// Counts a connection that was closed before its response was complete.
    void countCutResponse(const std::string &reason);

    /// Counts a request that continues a stream of its caller, by what the version was found by.
    void countResumedStream(const std::string &basis);

    void countTargetAdvice(const TargetAdvice &advice);

    /// Prints all metrics. controlCpuSeconds is the processor time of the control thread.
    std::string print(double controlCpuSeconds) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_rejectedRequests;
    std::map<std::string, std::uint64_t> m_cutResponses; ///< Keyed by reason.
    std::map<std::string, std::uint64_t> m_resumedStreams;
};

} // namespace berylridge
