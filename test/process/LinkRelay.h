// A relay for datagrams and connections between nodes, which tests can cut and mend.
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

    /// Relays what comes to the entry to a node of a zone. Only before run().
    void add(const Endpoint &entry, const std::string &zone, const Endpoint &node);
    void run();

    /// Cuts the zone off from all others, both ways.
    void cutOff(const std::string &zone);
    void mend();

    /// Of both ways together, since the start.
    std::uint64_t relayedDatagrams() const { return m_relayed; }
    std::uint64_t swallowedDatagrams() const { return m_swallowed; }

private:
    class Link;
    bool isCut(const std::string &fromAddress, const std::string &toZone) const;

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::shared_ptr<Link>> m_links;
    std::map<std::string, std::string> m_zoneOfAddress; ///< Of the nodes' own addresses.
    std::string m_cutZone;                              ///< Used on the relay's thread.
    std::atomic<std::uint64_t> m_relayed = 0;
    std::atomic<std::uint64_t> m_swallowed = 0;
    std::thread m_thread;
};

} // namespace berylridge::test
