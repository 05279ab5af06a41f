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

constexpr std::size_t chunkSize = 65536;

template <typename Protocol>
typename Protocol::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

using IsCut = std::function<bool()>;

/// Copies one direction of a connection until either side ends; while the link is cut, it swallows.
class Pump : public std::enable_shared_from_this<Pump>
{
public:
    Pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, IsCut isCut)
        : m_from(std::move(from))
        , m_to(std::move(to))
        , m_isCut(std::move(isCut))
    {
    }

    void run()
    {
        m_from->async_read_some(asio::buffer(m_bytes),
                                [self = shared_from_this()](error_code error, std::size_t size) {
                                    if (error)
                                        return self->close();
                                    self->pass(size);
                                });
    }

private:
    void pass(std::size_t size)
    {
        if (m_isCut())
            return run();
        asio::async_write(*m_to, asio::buffer(m_bytes, size),
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
    IsCut m_isCut;
    std::array<std::byte, chunkSize> m_bytes {};
};

} // namespace

class LinkRelay::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(LinkRelay &relay, const Endpoint &entry, std::string zone, const Endpoint &node)
        : m_relay(relay)
        , m_zone(std::move(zone))
        , m_node(node)
        , m_datagrams(relay.m_io, toAsio<udp>(entry))
        , m_out(relay.m_io, udp::v4())
        , m_acceptor(relay.m_io, toAsio<tcp>(entry))
    {
    }

    void start()
    {
        relayDatagrams();
        accept();
    }

private:
    void relayDatagrams()
    {
        m_datagrams.async_receive_from(
            asio::buffer(m_bytes), m_sender,
            [self = shared_from_this()](error_code error, std::size_t size) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                    self->pass(size);
                self->relayDatagrams();
            });
    }

    void pass(std::size_t size)
    {
        if (m_relay.isCut(m_sender.address().to_string(), m_zone)) {
            ++m_relay.m_swallowed;
            return;
        }
        ++m_relay.m_relayed;
        error_code ignored;
        m_out.send_to(asio::buffer(m_bytes, size), toAsio<udp>(m_node), 0, ignored);
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

    void connect(const std::shared_ptr<tcp::socket> &caller)
    {
        error_code error;
        const auto from = caller->remote_endpoint(error).address().to_string();
        const IsCut isCut = [this, from] { return m_relay.isCut(from, m_zone); };
        const auto node = std::make_shared<tcp::socket>(m_relay.m_io);
        node->async_connect(toAsio<tcp>(m_node),
                            [self = shared_from_this(), caller, node, isCut](error_code failure) {
                                if (failure)
                                    return;
                                std::make_shared<Pump>(caller, node, isCut)->run();
                                std::make_shared<Pump>(node, caller, isCut)->run();
                            });
    }

    LinkRelay &m_relay;
    std::string m_zone;
    Endpoint m_node;
    udp::socket m_datagrams;
    udp::socket m_out;
    tcp::acceptor m_acceptor;
    udp::endpoint m_sender;
    std::array<std::byte, chunkSize> m_bytes {};
};

LinkRelay::LinkRelay()
    : m_work(asio::make_work_guard(m_io))
{
}

LinkRelay::~LinkRelay()
{
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void LinkRelay::add(const Endpoint &entry, const std::string &zone, const Endpoint &node)
{
    m_zoneOfAddress[node.address] = zone;
    m_links.push_back(std::make_shared<Link>(*this, entry, zone, node));
    m_links.back()->start();
}

void LinkRelay::run()
{
    m_thread = std::thread([this] { m_io.run(); });
}

bool LinkRelay::isCut(const std::string &fromAddress, const std::string &toZone) const
{
    const auto from = m_zoneOfAddress.find(fromAddress);
    if (m_cutZone.empty() || from == m_zoneOfAddress.end() || from->second == toZone)
        return false;
    return from->second == m_cutZone || toZone == m_cutZone;
}

void LinkRelay::cutOff(const std::string &zone)
{
    asio::post(m_io, [this, zone] { m_cutZone = zone; });
}

void LinkRelay::mend()
{
    asio::post(m_io, [this] { m_cutZone.clear(); });
}

} // namespace berylridge::test
