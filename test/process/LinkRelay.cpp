#include "LinkRelay.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <functional>

namespace berylridge::test {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

namespace {

constexpr std::size_t bufferSize = 65536;

template <typename Protocol>
typename Protocol::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

using IsPartitioned = std::function<bool()>;

/// Forwards one direction of a connection until either side closes it. Drops the data while the
/// link is partitioned.
class StreamForwarder : public std::enable_shared_from_this<StreamForwarder>
{
public:
    StreamForwarder(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                    IsPartitioned isPartitioned)
        : m_from(std::move(from))
        , m_to(std::move(to))
        , m_isPartitioned(std::move(isPartitioned))
    {
    }

    void run()
    {
        m_from->async_read_some(asio::buffer(m_buffer),
                                [self = shared_from_this()](error_code error, std::size_t size) {
                                    if (error)
                                        return self->close();
                                    self->forward(size);
                                });
    }

private:
    void forward(std::size_t size)
    {
        if (m_isPartitioned())
            return run();
        asio::async_write(*m_to, asio::buffer(m_buffer, size),
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (error)
                                  return self->close();
                              self->run();
                          });
    }

    void close()
    {
        error_code ignored;
        m_from->close(ignored);
        m_to->close(ignored);
    }

    std::shared_ptr<tcp::socket> m_from;
    std::shared_ptr<tcp::socket> m_to;
    IsPartitioned m_isPartitioned;
    std::array<std::byte, bufferSize> m_buffer {};
};

} // namespace

class LinkRelay::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(LinkRelay &relay, const Endpoint &relayEndpoint, std::string zone, const Endpoint &node)
        : m_relay(relay)
        , m_zone(std::move(zone))
        , m_node(node)
        , m_receiveSocket(relay.m_io, toAsio<udp>(relayEndpoint))
        , m_sendSocket(relay.m_io, udp::v4())
        , m_acceptor(relay.m_io, toAsio<tcp>(relayEndpoint))
    {
    }

    void start()
    {
        receiveDatagram();
        accept();
    }

private:
    void receiveDatagram()
    {
        m_receiveSocket.async_receive_from(
            asio::buffer(m_buffer), m_sender,
            [self = shared_from_this()](error_code error, std::size_t size) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                    self->forward(size);
                self->receiveDatagram();
            });
    }

    void forward(std::size_t size)
    {
        if (m_relay.isPartitioned(m_sender.address().to_string(), m_zone)) {
            ++m_relay.m_dropped;
            return;
        }
        ++m_relay.m_forwarded;
        error_code ignored;
        m_sendSocket.send_to(asio::buffer(m_buffer, size), toAsio<udp>(m_node), 0, ignored);
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                self->connect(std::make_shared<tcp::socket>(std::move(socket)));
            self->accept();
        });
    }

    void connect(const std::shared_ptr<tcp::socket> &source)
    {
        error_code error;
        const auto from = source->remote_endpoint(error).address().to_string();
        const IsPartitioned isPartitioned
            = [this, from] { return m_relay.isPartitioned(from, m_zone); };
        const auto node = std::make_shared<tcp::socket>(m_relay.m_io);
        node->async_connect(
            toAsio<tcp>(m_node),
            [self = shared_from_this(), source, node, isPartitioned](error_code failure) {
                if (failure)
                    return;
                std::make_shared<StreamForwarder>(source, node, isPartitioned)->run();
                std::make_shared<StreamForwarder>(node, source, isPartitioned)->run();
            });
    }

    LinkRelay &m_relay;
    std::string m_zone;
    Endpoint m_node;
    udp::socket m_receiveSocket;
    udp::socket m_sendSocket;
    tcp::acceptor m_acceptor;
    udp::endpoint m_sender;
    std::array<std::byte, bufferSize> m_buffer {};
};

LinkRelay::LinkRelay()
    : m_workGuard(asio::make_work_guard(m_io))
{
}

LinkRelay::~LinkRelay()
{
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void LinkRelay::addLink(const Endpoint &relayEndpoint, const std::string &zone,
                        const Endpoint &node)
{
    m_zoneOfAddress[node.address] = zone;
    m_links.push_back(std::make_shared<Link>(*this, relayEndpoint, zone, node));
    m_links.back()->start();
}

void LinkRelay::run()
{
    m_thread = std::thread([this] { m_io.run(); });
}

bool LinkRelay::isPartitioned(const std::string &fromAddress, const std::string &toZone) const
{
    const auto from = m_zoneOfAddress.find(fromAddress);
    if (m_partitionedZone.empty() || from == m_zoneOfAddress.end() || from->second == toZone)
        return false;
    return from->second == m_partitionedZone || toZone == m_partitionedZone;
}

void LinkRelay::partitionZone(const std::string &zone)
{
    asio::post(m_io, [this, zone] { m_partitionedZone = zone; });
}

void LinkRelay::healPartition()
{
    asio::post(m_io, [this] { m_partitionedZone.clear(); });
}

} // namespace berylridge::test
