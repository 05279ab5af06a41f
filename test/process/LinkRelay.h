// A relay for datagrams and connections between nodes, which tests can cut and healPartition.
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

/// Runs on a thread of its own. Nodes advertise the relay's addresses; who speaks is known by the
/// source address. A cut link swallows what it gets and refuses nothing, as a partition does.
class LinkRelay
{
public:
    LinkRelay();
    ~LinkRelay();
    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    /// Relays what comes to the relayEndpoint to a node of a zone. Only before run().
    void addLink(const Endpoint &relayEndpoint, const std::string &zone, const Endpoint &node);
    void run();

    /// Cuts the zone off from all others, both ways.
    void partitionZone(const std::string &zone);
    void healPartition();

    /// Of both ways together, since the start.
    std::uint64_t forwardedDatagrams() const { return m_forwarded; }
    std::uint64_t droppedDatagrams() const { return m_dropped; }

private:
    class Link;
    bool isPartitioned(const std::string &fromAddress, const std::string &toZone) const;

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::vector<std::shared_ptr<Link>> m_links;
    std::map<std::string, std::string> m_zoneOfAddress; ///< Of the nodes' own addresses.
    std::string m_partitionedZone;                      ///< Used on the relay's thread.
    std::atomic<std::uint64_t> m_forwarded = 0;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::thread m_thread;
};

} // namespace berylridge::test
