// Exchanges messages with other nodes by datagrams, and by RPC calls for messages that are too
// large for one, and probes nodes.
#pragma once

#include "DeliverRpcServer.h"
#include "HttpListener.h"
#include "berylridge/Net/Asio.h"
#include "berylridge/Net/HttpClient.h"

#include "berylridge/Net/Datagram.h"
#include "berylridge/Net/Metrics.h"
#include "berylridge/Router/Actions.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace berylridge {

struct PeerOptions
{
    NodeId node;
    Incarnation incarnation = 0;
    std::string fleetKey;
};

/// Runs on the control thread.
class PeerTransport
{
public:
    struct Callbacks
    {
        std::function<void(Event)> onEvent;   ///< Called once for each event.
        std::function<void()> onIterationEnd; ///< Called once after the events of one event loop
                                              ///< iteration.
        std::function<void(LogRecord)> log;
    };

    PeerTransport(asio::io_context &context, PeerOptions options, Metrics &metrics,
                  Callbacks callbacks);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Opens the UDP socket and the RPC listener on the same port. Returns an empty string on
    /// success, otherwise the reason of the failure.
    std::string listen(const Endpoint &endpoint);
    Endpoint endpoint() const { return m_callListener.endpoint(); }
    std::uint64_t reclaimedConnections() const { return m_callListener.reclaimedConnections(); }

    /// Queues a message until flush(), so that messages to the same node share datagrams.
    void send(const SendToNode &action);
    void flush();
    void probe(const ProbeNode &action);

private:
    using PackedMessages = std::vector<std::string>;
    struct EncodedCall
    {
        std::string message; ///< Packed.
        std::string body;    ///< Body of the call that delivers it.
    };

    void receive();
    void receiveAll();
    void receiveDatagram(std::span<const std::byte> bytes);
    void recordRejectedDatagram(const std::string &reason);
    const std::string &callBody(const std::string &message);
    void sendPacked(const Endpoint &to, const PackedMessages &messages);
    void sendDatagram(const Endpoint &to, std::span<const std::string> messages);
    void call(const Endpoint &to, const std::string &message);
    StringResponse handleCall(const StringRequest &request);
    void closeIdleClients();

    asio::io_context &m_context;
    const std::string m_fleetKey;
    Metrics &m_metrics;
    Callbacks m_callbacks;
    DatagramEncoder m_encoder;
    udp::socket m_socket;
    std::array<std::byte, 65536> m_receiveBuffer {};
    DeliverRpcServer m_deliverServer;
    HttpListener m_callListener;
    std::map<Endpoint, PackedMessages> m_pendingMessages;
    std::deque<EncodedCall> m_recentCalls; ///< The newest last.
    std::map<Endpoint, std::shared_ptr<HttpClient>> m_clients;
    asio::steady_timer m_idleTimer;
    std::chrono::steady_clock::time_point m_lastRejectionLogAt {};
    std::uint64_t m_rejectedSinceLog = 0;
};

} // namespace berylridge
