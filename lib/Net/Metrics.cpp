#include "berylridge/Net/Metrics.h"

#include "HeldBytes.h"

#include <boost/histogram.hpp>
#include <ctime>
#include <limits>
#include <string_view>

namespace berylridge {

namespace {

namespace histogram = boost::histogram;
using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr unsigned bucketCount = 40;
constexpr double minBucketSeconds = 0.0001;
constexpr double maxBucketSeconds = 1000;

void printMetadata(std::string_view name, std::string_view help, std::string_view type,
                   std::string &out)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ");
    out.append(name).append(" ").append(type).append("\n");
}

template <typename Number>
void printSample(std::string_view name, std::string_view labels, Number value, std::string &out)
{
    out.append(name).append(labels).append(" ").append(std::to_string(value)).append("\n");
}

template <typename Number>
void printMetric(std::string_view name, std::string_view help, std::string_view type, Number value,
                 std::string &out)
{
    printMetadata(name, help, type, out);
    printSample(name, "", value, out);
}

std::string label(std::string_view name, std::string_view value)
{
    return std::string("{").append(name).append("=\"").append(value).append("\"}");
}

using MessageCounters = std::array<MessageCounter, peerMessageKindCount>;

void printMessages(const std::string &prefix, const MessageCounters &counters, std::string &out)
{
    const std::string messages = prefix + "_messages_total";
    printMetadata(messages, "control messages by kind", "counter", out);
    for (std::size_t kind = 0; kind < counters.size(); ++kind)
        printSample(messages, label("kind", peerMessageKindName(kind)),
                    counters[kind].messages.load(), out);
    const std::string bytes = prefix + "_bytes_total";
    printMetadata(bytes, "packed bytes of control messages by kind", "counter", out);
    for (std::size_t kind = 0; kind < counters.size(); ++kind)
        printSample(bytes, label("kind", peerMessageKindName(kind)), counters[kind].bytes.load(),
                    out);
}

double processCpuSeconds()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

} // namespace

class LatencyHistogram::Impl
{
public:
    using Histogram = decltype(histogram::make_histogram(LogAxis(1, 1., 2.)));

    std::mutex mutex;
    Histogram buckets
        = histogram::make_histogram(LogAxis(bucketCount, minBucketSeconds, maxBucketSeconds));
    double sum = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_impl(std::make_unique<Impl>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(Duration latency)
{
    const double seconds = toSeconds(latency);
    const std::lock_guard lock(m_impl->mutex);
    m_impl->buckets(seconds);
    m_impl->sum += seconds;
}

void LatencyHistogram::print(const std::string &name, const std::string &help,
                             std::string &out) const
{
    const std::lock_guard lock(m_impl->mutex);
    printMetadata(name, help, "histogram", out);
    double cumulativeCount = 0;
    for (const auto &bucket : histogram::indexed(m_impl->buckets, histogram::coverage::all)) {
        cumulativeCount += *bucket;
        const double upper = bucket.bin(0).upper();
        const bool isLast = upper == std::numeric_limits<double>::infinity();
        printSample(name, "_bucket" + label("le", isLast ? "+Inf" : std::to_string(upper)),
                    static_cast<std::uint64_t>(cumulativeCount), out);
    }
    printSample(name, "_sum", m_impl->sum, out);
    printSample(name, "_count", static_cast<std::uint64_t>(cumulativeCount), out);
}

void Metrics::countRejectedRequest(const std::string &type)
{
    const std::lock_guard lock(m_mutex);
    ++m_rejectedRequests[type];
}

void Metrics::countCutResponse(const std::string &reason)
{
    const std::lock_guard lock(m_mutex);
    ++m_cutResponses[reason];
}

void Metrics::countResumedStream(const std::string &basis)
{
    const std::lock_guard lock(m_mutex);
    ++m_resumedStreams[basis];
}

void Metrics::countTargetAdvice(const TargetAdvice &advice)
{
    targetPausesRequested += advice.retryAfter ? 1 : 0;
    targetPausesInvalid += advice.invalidRetryAfter.empty() ? 0 : 1;
    targetLeavingResponses += advice.isLeaving ? 1 : 0;
}

std::string Metrics::print(double controlCpuSeconds) const
{
    std::string out;
    const auto counter
        = [&out](std::string_view name, std::string_view help, const Counter &value) {
              printMetric(name, help, "counter", value.load(), out);
          };
    counter("berylridge_requests_received_total", "requests read whole", requestsReceived);
    printMetadata("berylridge_requests_total", "requests that ended, by verdict", "counter", out);
    for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran})
        printSample("berylridge_requests_total", label("verdict", verdictName(verdict)),
                    requestsByVerdict[static_cast<std::size_t>(verdict)].load(), out);
    printMetadata("berylridge_refusals_total", "refusals by problem type", "counter", out);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[type, count] : m_rejectedRequests)
            printSample("berylridge_refusals_total", label("type", type), count, out);
        printMetadata("berylridge_responses_cut_total",
                      "connections closed before their response was complete, by reason", "counter",
                      out);
        for (const auto &[reason, count] : m_cutResponses)
            printSample("berylridge_responses_cut_total", label("reason", reason), count, out);
        printMetadata("berylridge_streams_resumed_total",
                      "streams of callers that were sent to a target, by what the software version "
                      "was found by",
                      "counter", out);
        for (const auto &[basis, count] : m_resumedStreams)
            printSample("berylridge_streams_resumed_total", label("basis", basis), count, out);
    }
    counter("berylridge_callers_gone_total", "callers that left before their answer",
            callerDisconnects);
    counter("berylridge_callers_gone_unread_total",
            "requests that were read when their callers had left", requestsReadAfterDisconnect);
    counter("berylridge_caller_connections_accepted_total", "connections of callers",
            connectionsAccepted);
    counter("berylridge_accept_failures_total", "connections that could not be accepted",
            acceptFailures);
    printMetric("berylridge_traffic_lag_seconds", "how late a traffic thread ran", "gauge",
                static_cast<double>(trafficLagMicroseconds.load()) * 1e-6, out);
    printMetric("berylridge_caller_connections", "open connections of callers", "gauge",
                connectionsOpen.load(), out);
    counter("berylridge_caller_connections_refused_total", "connections beyond the limit",
            connectionsRejected);
    counter("berylridge_caller_connections_reclaimed_total",
            "connections without a complete request that were closed for new ones",
            connectionsReclaimed);
    printMetric("berylridge_caller_bytes_held", "memory for bytes of callers", "gauge",
                callerBytesHeld.load(), out);
    counter("berylridge_requests_dropped_for_memory_total",
            "requests that were dropped before they had arrived completely",
            requestsDroppedForMemory);
    counter("berylridge_attempts_total", "attempts at targets", attemptsStarted);
    counter("berylridge_attempts_failed_total", "attempts that failed", attemptsFailed);
    counter("berylridge_target_connections_reused_total", "attempts on a kept connection",
            connectionsReused);
    counter("berylridge_target_pauses_requested_total",
            "responses of targets that asked for a pause (Retry-After)", targetPausesRequested);
    counter("berylridge_target_pauses_invalid_total",
            "responses of targets with an invalid Retry-After", targetPausesInvalid);
    counter("berylridge_target_leaving_responses_total", "responses of targets that shut down",
            targetLeavingResponses);
    counter("berylridge_streams_taken_up_total",
            "requests that continue a stream of which the caller has events", streamsTakenUp);
    counter("berylridge_streams_continued_total",
            "attempts that continue a stream within its response", streamsContinued);
    counter("berylridge_responses_ended_with_connection_total",
            "complete responses of targets with neither a length nor chunks",
            responsesEndedWithConnection);
    printMetric("berylridge_target_bytes_held",
                "bytes of responses that count towards the limit of the process", "gauge",
                HeldBytes::processBytes(), out);
    counter("berylridge_target_bytes_not_held_total",
            "pieces of responses that would have exceeded the limit of the process",
            HeldBytes::refusals());
    firstByteLatency.print("berylridge_first_byte_seconds", "from request to first byte", out);
    requestLatency.print("berylridge_request_seconds", "from request to end of answer", out);
    firstByteAfterEstimate.print("berylridge_first_byte_after_estimate_seconds",
                                 "how much later than estimated a target responded", out);
    firstByteBeforeEstimate.print("berylridge_first_byte_before_estimate_seconds",
                                  "how much earlier than estimated a target responded", out);
    printMessages("berylridge_control_sent", sent, out);
    printMessages("berylridge_control_received", received, out);
    counter("berylridge_datagrams_sent_total", "datagrams sent", datagramsSent);
    counter("berylridge_datagrams_received_total", "datagrams received", datagramsReceived);
    counter("berylridge_datagram_bytes_sent_total", "bytes of them", datagramBytesSent);
    counter("berylridge_datagram_bytes_received_total", "bytes of them", datagramBytesReceived);
    counter("berylridge_calls_sent_total", "calls to nodes", callsSent);
    counter("berylridge_call_bytes_sent_total", "bytes of their bodies", callBytesSent);
    counter("berylridge_calls_received_total", "calls from nodes", callsReceived);
    counter("berylridge_call_bytes_received_total", "bytes of their bodies", callBytesReceived);
    counter("berylridge_datagrams_rejected_total", "unauthentic or unreadable datagrams",
            datagramsRejected);
    counter("berylridge_control_connections_reclaimed_total",
            "connections of operators and nodes that were closed for others",
            controlConnectionsReclaimed);
    counter("berylridge_platform_calls_total", "calls to the platform", platformCalls);
    counter("berylridge_target_polls_total", "load polls of targets", targetPolls);
    counter("berylridge_log_lines_dropped_total", "log lines that found no room", logLinesDropped);
    counter("berylridge_control_events_total", "events of the decision core", controlEvents);
    printMetric("berylridge_control_cpu_seconds_total", "processor time of the control thread",
                "counter", controlCpuSeconds, out);
    printMetric("process_cpu_seconds_total", "processor time of the process", "counter",
                processCpuSeconds(), out);
    return out;
}

} // namespace berylridge
