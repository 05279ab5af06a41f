// Relays datagrams and connections between nodes, so that tests can simulate network partitions.
#pragma once

#include "berylridge/Support/Endpoint.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace berylridge::test {

/// Runs on a thread of its own. Nodes advertise the relay's addresses; the relay identifies the
/// sender by the source address. While a link is partitioned, the relay silently drops its data and
/// still accepts connections, as a real partition gives no error either.
class LinkRelay
{
public:
    LinkRelay();
    ~LinkRelay();
    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    /// Forwards traffic that arrives at the relay's endpoint to a node of a zone. Must be called
    /// before run().
    void addLink(const Endpoint &relayEndpoint, const std::string &zone, const Endpoint &node);
    void run();

    /// Drops all traffic between the zone and the other zones, in both directions.
    void partitionZone(const std::string &zone);
    void healPartition();

    /// Datagrams in both directions, since the start.
    std::uint64_t forwardedDatagrams() const { return m_forwarded; }
    std::uint64_t droppedDatagrams() const { return m_dropped; }

private:
    class Link;
    bool isPartitioned(const std::string &fromAddress, const std::string &toZone) const;

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::vector<std::shared_ptr<Link>> m_links;
    std::map<std::string, std::string> m_zoneOfAddress; ///< By the nodes' own addresses.
    std::string m_partitionedZone;                      ///< Accessed only on the relay's thread.
    std::atomic<std::uint64_t> m_forwarded = 0;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::thread m_thread;
};

} // namespace berylridge::test
