#include "PeerTransport.h"

#include "JsonRpcClient.h"
#include "berylridge/Net/Base64.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds probeTimeout {500};
constexpr std::chrono::seconds idleSweepPeriod {10};
constexpr std::chrono::seconds rejectionLogPeriod {1};
constexpr std::uint64_t maxCallBodyBytes = 16 << 20;
constexpr std::uint64_t maxCallResponseBytes = 64 << 10;
/// Maximum number of datagrams received per event loop iteration, so that timers and operators'
/// calls run in between.
constexpr int maxDatagramsPerWakeUp = 64;
constexpr int socketBufferBytes = 1 << 20;
/// A catalog and a directory are sent in turn.
constexpr std::size_t maxRecentCalls = 2;

} // namespace

PeerTransport::PeerTransport(asio::io_context &context, PeerOptions options, Metrics &metrics,
                             Callbacks callbacks)
    : m_context(context)
    , m_fleetKey(options.fleetKey)
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_encoder(std::move(options.node), options.incarnation, options.fleetKey)
    , m_socket(context)
    , m_deliverServer([this](const std::string &encoded) {
        receiveDatagram(std::as_bytes(std::span(encoded)));
    })
    , m_callListener(context, {maxCallBodyBytes, 1024, std::chrono::seconds(60)},
                     [this](const StringRequest &request) { return handleCall(request); })
    , m_idleTimer(context)
{
}

PeerTransport::~PeerTransport()
{
    for (const auto &[endpoint, client] : m_clients)
        client->close();
}

std::string PeerTransport::listen(const Endpoint &endpoint)
{
    std::string reason = m_callListener.listen(endpoint);
    if (!reason.empty())
        return reason;
    const auto socketAddress = asioEndpoint<udp>(m_callListener.endpoint());
    error_code error;
    m_socket.open(socketAddress->protocol(), error);
    if (!error)
        m_socket.bind(*socketAddress, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return endpoint.address + ": can't open the UDP socket: " + error.message();
    // A smaller buffer loses datagrams of a burst; the next gossip round repeats their state.
    error_code ignored;
    m_socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    receive();
    closeIdleClients();
    return {};
}

void PeerTransport::receive()
{
    m_socket.async_wait(udp::socket::wait_read, [this](error_code error) {
        if (error)
            return;
        receiveAll();
        m_callbacks.onIterationEnd();
        receive();
    });
}

void PeerTransport::receiveAll()
{
    for (int i = 0; i < maxDatagramsPerWakeUp; ++i) {
        udp::endpoint from;
        error_code error;
        const std::size_t size
            = m_socket.receive_from(asio::buffer(m_receiveBuffer), from, 0, error);
        if (error == asio::error::would_block)
            return;
        if (error)
            continue; // The port of an earlier destination was closed; this socket still works.
        ++m_metrics.datagramsReceived;
        m_metrics.datagramBytesReceived += size;
        receiveDatagram(std::span(m_receiveBuffer).first(size));
    }
}

void PeerTransport::receiveDatagram(std::span<const std::byte> bytes)
{
    auto datagram = decodeDatagram(m_fleetKey, bytes);
    if (!datagram) {
        recordRejectedDatagram(datagram.failureReason());
        return;
    }
    for (PeerMessage &message : (*datagram).messages) {
        MessageCounter &counter = m_metrics.received[peerMessageKind(message)];
        ++counter.messages;
        m_callbacks.onEvent(
            NodeMessage {datagram->from, datagram->incarnation, std::move(message)});
    }
}

void PeerTransport::recordRejectedDatagram(const std::string &reason)
{
    ++m_metrics.datagramsRejected;
    ++m_rejectedSinceLog;
    // Anyone can send such datagrams, so one line for each of them could fill the log.
    const auto now = std::chrono::steady_clock::now();
    if (now - m_lastRejectionLogAt < rejectionLogPeriod)
        return;
    m_lastRejectionLogAt = now;
    m_callbacks.log({LogEventId::DatagramRejected,
                     reason + ", " + std::to_string(std::exchange(m_rejectedSinceLog, 0))
                         + " rejected since the last line"});
}

void PeerTransport::send(const SendToNode &action)
{
    std::string packed = packPeerMessage(action.message);
    MessageCounter &counter = m_metrics.sent[peerMessageKind(action.message)];
    ++counter.messages;
    counter.bytes += packed.size();
    m_pendingMessages[action.endpoint].push_back(std::move(packed));
}

void PeerTransport::flush()
{
    for (const auto &[endpoint, messages] : m_pendingMessages)
        sendPacked(endpoint, messages);
    m_pendingMessages.clear();
}

void PeerTransport::sendPacked(const Endpoint &to, const PackedMessages &messages)
{
    const std::span<const std::string> all(messages);
    std::size_t first = 0;
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const std::size_t size = all[i].size();
        const bool isTooLarge = size > m_encoder.capacity();
        if (i > first && (isTooLarge || bytes + size > m_encoder.capacity())) {
            sendDatagram(to, all.subspan(first, i - first));
            first = i;
            bytes = 0;
        }
        if (isTooLarge) {
            call(to, all[i]);
            first = i + 1;
            continue;
        }
        bytes += size;
    }
    if (first < all.size())
        sendDatagram(to, all.subspan(first));
}

void PeerTransport::sendDatagram(const Endpoint &to, std::span<const std::string> messages)
{
    const auto socketAddress = asioEndpoint<udp>(to);
    if (!socketAddress)
        return;
    const std::string encoded = m_encoder.encode(messages);
    error_code ignored; // The next message makes up for a lost datagram.
    m_socket.send_to(asio::buffer(encoded), *socketAddress, 0, ignored);
    ++m_metrics.datagramsSent;
    m_metrics.datagramBytesSent += encoded.size();
}

void PeerTransport::call(const Endpoint &to, const std::string &message)
{
    auto &client = m_clients[to];
    if (!client)
        client = std::make_shared<HttpClient>(m_context, to, maxCallResponseBytes);
    const std::string &body = callBody(message);
    ++m_metrics.callsSent;
    m_metrics.callBytesSent += body.size();
    client->post("/rpc", body, callTimeout, [](const HttpReply &) {});
}

/// Encoding a large catalog takes milliseconds. When a fleet starts, a seed sends the same one to
/// dozens of nodes at once, and their callers wait for it.
const std::string &PeerTransport::callBody(const std::string &message)
{
    const auto found
        = std::find_if(m_recentCalls.begin(), m_recentCalls.end(),
                       [&](const EncodedCall &each) { return each.message == message; });
    if (found != m_recentCalls.end())
        return found->body;
    if (m_recentCalls.size() == maxRecentCalls)
        m_recentCalls.pop_front();
    EncodedCall &call = m_recentCalls.emplace_back();
    call.message = message;
    sendJsonRpcNotification(deliverMethod, deliverParameter,
                            encodeBase64(m_encoder.encode(std::span(&message, 1))),
                            [&](const std::string &body) { call.body = body; });
    return call.body;
}

StringResponse PeerTransport::handleCall(const StringRequest &request)
{
    StringResponse response;
    if (request.method() != http::verb::post || view(request.target()) != "/rpc") {
        response.result(http::status::not_found);
        return response;
    }
    ++m_metrics.callsReceived;
    m_metrics.callBytesReceived += request.body().size();
    auto reply = m_deliverServer.handle(request.body());
    if (!reply) {
        recordRejectedDatagram(reply.failureReason());
        response.result(http::status::bad_request);
        return response;
    }
    response.result(http::status::ok);
    response.set(http::field::content_type, "application/json");
    response.body() = *std::move(reply);
    m_callbacks.onIterationEnd();
    return response;
}

void PeerTransport::probe(const ProbeNode &action)
{
    const auto socketAddress = asioEndpoint<tcp>(action.endpoint);
    if (!socketAddress) {
        asio::post(m_context, [this, action] {
            m_callbacks.onEvent(ProbeEnded {action.node, action.incarnation, false});
            m_callbacks.onIterationEnd();
        });
        return;
    }
    struct Probe
    {
        explicit Probe(asio::io_context &context)
            : socket(context)
            , timer(context)
        {
        }
        tcp::socket socket;
        asio::steady_timer timer;
    };
    auto probe = std::make_shared<Probe>(m_context);
    probe->timer.expires_after(probeTimeout);
    probe->timer.async_wait([probe](error_code error) {
        error_code ignored;
        if (!error)
            probe->socket.close(ignored);
    });
    probe->socket.async_connect(*socketAddress, [this, probe, action](error_code error) {
        error_code ignored;
        probe->timer.cancel(ignored);
        probe->socket.close(ignored);
        m_callbacks.onEvent(
            ProbeEnded {action.node, action.incarnation, error == asio::error::connection_refused});
        m_callbacks.onIterationEnd();
    });
}

void PeerTransport::closeIdleClients()
{
    std::erase_if(m_clients, [](const auto &entry) {
        const bool isIdle = entry.second->pending() == 0;
        if (isIdle)
            entry.second->close();
        return isIdle;
    });
    m_idleTimer.expires_after(idleSweepPeriod);
    m_idleTimer.async_wait([this](error_code error) {
        if (!error)
            closeIdleClients();
    });
}

} // namespace berylridge
