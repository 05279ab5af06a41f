#include "PeerLink.h"

#include "JsonRpcClient.h"
#include "berylridge/Net/Base64.h"

#include <utility>

namespace berylridge {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds probeTimeout {500};
constexpr std::chrono::seconds idleSweepPeriod {10};
constexpr std::chrono::seconds rejectLogPeriod {1};
constexpr std::uint64_t callBodyLimit = 16 << 20;
/// Datagrams of one wake-up; timers and operators have their turn between.
constexpr int datagramsPerTurn = 64;
constexpr int socketBufferBytes = 1 << 20;

} // namespace

PeerLink::PeerLink(asio::io_context &context, PeerOptions options, Metrics &metrics, Events events)
    : m_context(context)
    , m_fleetKey(options.fleetKey)
    , m_metrics(metrics)
    , m_events(std::move(events))
    , m_sealer(std::move(options.node), options.incarnation, options.fleetKey)
    , m_socket(context)
    , m_deliver([this](const std::string &sealed) { takeSealed(std::as_bytes(std::span(sealed))); })
    , m_calls(context, {callBodyLimit, 1024, std::chrono::seconds(60)},
              [this](const StringRequest &request) { return answerCall(request); })
    , m_idleTimer(context)
{
}

PeerLink::~PeerLink()
{
    for (const auto &[endpoint, client] : m_clients)
        client->close();
}

std::string PeerLink::listen(const Endpoint &endpoint)
{
    std::string reason = m_calls.listen(endpoint);
    if (!reason.empty())
        return reason;
    const auto place = asioEndpoint<udp>(m_calls.endpoint());
    error_code error;
    m_socket.open(place->protocol(), error);
    if (!error)
        m_socket.bind(*place, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return endpoint.address + ": can't receive datagrams: " + error.message();
    error_code ignored; // A smaller buffer loses datagrams of a burst, which the next round heals.
    m_socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    receive();
    closeIdleClients();
    return {};
}

void PeerLink::receive()
{
    m_socket.async_wait(udp::socket::wait_read, [this](error_code error) {
        if (error)
            return;
        receiveAll();
        m_events.endTurn();
        receive();
    });
}

void PeerLink::receiveAll()
{
    for (int i = 0; i < datagramsPerTurn; ++i) {
        udp::endpoint from;
        error_code error;
        const std::size_t size = m_socket.receive_from(asio::buffer(m_received), from, 0, error);
        if (error == asio::error::would_block)
            return;
        if (error)
            continue; // An earlier datagram's port was closed; not this socket's fault.
        ++m_metrics.datagramsReceived;
        m_metrics.datagramBytesReceived += size;
        takeSealed(std::span(m_received).first(size));
    }
}

void PeerLink::takeSealed(std::span<const std::byte> bytes)
{
    auto datagram = openDatagram(m_fleetKey, bytes);
    if (!datagram) {
        reject(datagram.failureReason());
        return;
    }
    for (PeerMessage &message : (*datagram).messages) {
        MessageCounter &counter = m_metrics.received[peerMessageKind(message)];
        ++counter.messages;
        m_events.take(NodeMessage {datagram->from, datagram->incarnation, std::move(message)});
    }
}

void PeerLink::reject(const std::string &reason)
{
    ++m_metrics.datagramsRejected;
    ++m_rejectedSinceLog;
    // Anyone can send such datagrams; a line for each would let them fill the log.
    const auto now = std::chrono::steady_clock::now();
    if (now - m_lastRejectLog < rejectLogPeriod)
        return;
    m_lastRejectLog = now;
    m_events.log({LogEventId::DatagramRejected,
                  reason + ", " + std::to_string(std::exchange(m_rejectedSinceLog, 0))
                      + " since the last line"});
}

void PeerLink::send(const SendToNode &order)
{
    std::string packed = packPeerMessage(order.message);
    MessageCounter &counter = m_metrics.sent[peerMessageKind(order.message)];
    ++counter.messages;
    counter.bytes += packed.size();
    m_outgoing[order.endpoint].push_back(std::move(packed));
}

void PeerLink::flush()
{
    for (const auto &[endpoint, messages] : m_outgoing)
        sendPacked(endpoint, messages);
    m_outgoing.clear();
}

void PeerLink::sendPacked(const Endpoint &to, const PackedMessages &messages)
{
    const std::span<const std::string> all(messages);
    std::size_t first = 0;
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const std::size_t size = all[i].size();
        const bool isTooLarge = size > m_sealer.capacity();
        if (i > first && (isTooLarge || bytes + size > m_sealer.capacity())) {
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

void PeerLink::sendDatagram(const Endpoint &to, std::span<const std::string> messages)
{
    const auto place = asioEndpoint<udp>(to);
    if (!place)
        return;
    const std::string sealed = m_sealer.seal(messages);
    error_code ignored; // A lost datagram heals with the next.
    m_socket.send_to(asio::buffer(sealed), *place, 0, ignored);
    ++m_metrics.datagramsSent;
    m_metrics.datagramBytesSent += sealed.size();
}

void PeerLink::call(const Endpoint &to, const std::string &message)
{
    auto &client = m_clients[to];
    if (!client)
        client = std::make_shared<HttpClient>(m_context, to);
    const std::string sealed = m_sealer.seal(std::span(&message, 1));
    notifyByJsonRpc(deliverMethod, deliverParameter, encodeBase64(sealed),
                    [&](const std::string &body) {
                        ++m_metrics.callsSent;
                        m_metrics.callBytesSent += body.size();
                        client->post("/rpc", body, callTimeout, [](const HttpReply &) {});
                    });
}

StringResponse PeerLink::answerCall(const StringRequest &request)
{
    StringResponse response;
    if (request.method() != http::verb::post || view(request.target()) != "/rpc") {
        response.result(http::status::not_found);
        return response;
    }
    ++m_metrics.callsReceived;
    m_metrics.callBytesReceived += request.body().size();
    response.result(http::status::ok);
    response.set(http::field::content_type, "application/json");
    response.body() = m_deliver.handle(request.body());
    m_events.endTurn();
    return response;
}

void PeerLink::probe(const ProbeNode &order)
{
    const auto place = asioEndpoint<tcp>(order.endpoint);
    if (!place) {
        asio::post(m_context, [this, order] {
            m_events.take(ProbeEnded {order.node, order.incarnation, false});
            m_events.endTurn();
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
    probe->socket.async_connect(*place, [this, probe, order](error_code error) {
        error_code ignored;
        probe->timer.cancel(ignored);
        probe->socket.close(ignored);
        m_events.take(
            ProbeEnded {order.node, order.incarnation, error == asio::error::connection_refused});
        m_events.endTurn();
    });
}

void PeerLink::closeIdleClients()
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
