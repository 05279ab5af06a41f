// Runs the balancers of all nodes of a fleet under one simulated clock and delivers their messages
// without delay.
#pragma once

#include "berylridge/Balancer/BalancerCore.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace berylridge::test {

class SimulatedFleet
{
public:
    struct Node
    {
        std::string zone;
        Endpoint endpoint;
        std::unique_ptr<BalancerCore> core;
        Actions actions; ///< Actions of the last event, without messages to other nodes.
        Actions pending; ///< The same of all events since the test took them; see keepActions().
        Incarnation incarnation = 0;
        std::size_t messagesSent = 0;
        std::size_t platformReads = 0; ///< Number of times that it began to read.
        bool isReadingPlatform = false;
        bool isPaused = false;
        std::vector<Event> heldEvents; ///< Events that came while the process was paused.
    };

    SimulatedFleet(std::size_t zones, std::size_t nodesPerZone)
    {
        for (std::size_t i = 0; i < nodesPerZone; ++i) {
            for (std::size_t zone = 0; zone < zones; ++zone)
                addNode("z" + std::to_string(zone), zone, i);
        }
        for (std::size_t i = 0; i < std::min<std::size_t>(seedCount, m_nodes.size()); ++i)
            m_seeds.push_back(m_nodes[i].endpoint);
    }

    /// Starts all nodes within 0.3 s, the seeds last.
    void start()
    {
        constexpr Duration startTime = std::chrono::milliseconds(300);
        const auto step = startTime / static_cast<std::int64_t>(m_nodes.size());
        for (std::size_t i = m_nodes.size(); i > 0; --i) {
            startNode(m_nodes[i - 1]);
            advance(step);
        }
    }

    void advance(Duration time)
    {
        const TimePoint end = m_clock.now() + time;
        while (true) {
            Node *next = nextTimer();
            if (!next || next->core->nextTimer() >= end)
                break;
            m_clock.advance(std::max(next->core->nextTimer() - m_clock.now(), Duration(0)));
            handle(*next, TimerDue {});
        }
        m_clock.advance(end - m_clock.now());
    }

    /// Passes the event to the node, and the resulting messages to their receivers.
    void handle(Node &node, const Event &event)
    {
        node.actions = takeActions(node, event);
        while (!m_messages.empty()) {
            const auto [receiver, next] = std::move(m_messages.front());
            m_messages.pop_front();
            if (receiver->core)
                takeActions(*receiver, next);
        }
    }

    std::vector<Node> &nodes() { return m_nodes; }

    /// Ends the node's process. Messages to it are lost until it starts again.
    static void stopNode(Node &node)
    {
        node.core.reset();
        node.isReadingPlatform = false;
        node.isPaused = false;
        node.heldEvents.clear();
    }

    void startNode(Node &node)
    {
        BalancerOptions options;
        options.node = NodeId(node.zone + "-" + node.endpoint.address);
        options.zone = ZoneId(node.zone);
        options.endpoint = node.endpoint;
        options.incarnation = ++node.incarnation;
        options.seeds = m_seeds;
        options.chartDirectory = BERYLRIDGE_SOURCE_DIR "/charts";
        options.leavesRotationOnOverload = m_leavesRotationOnOverload;
        auto created = BalancerCore::create(options, m_clock.now(), m_clock.wallNow());
        if (!created)
            throw std::runtime_error(created.failureReason());
        node.core = *std::move(created);
    }

    TimePoint now() const { return m_clock.now(); }

    /// Stops the process from handling events until resumeNode().
    static void pauseNode(Node &node) { node.isPaused = true; }

    void resumeNode(Node &node)
    {
        node.isPaused = false;
        for (const Event &event : std::exchange(node.heldEvents, {}))
            handle(node, event);
    }

    /// Lets nodes that are started from now on leave the rotation under overload.
    void leaveRotationOnOverload() { m_leavesRotationOnOverload = true; }

    /// Keeps the actions of all events in Node::pending from now on.
    void keepActions() { m_keepsActions = true; }

    /// Sets what the platform answers a node that reads its revision; nothing while it is
    /// unreachable.
    void setPlatformRevision(std::function<std::optional<std::uint64_t>(const Node &)> revision)
    {
        m_platformRevision = std::move(revision);
    }

    /// Separates the zone from all others, or ends the separation if it is empty.
    void cutZone(std::string zone) { m_cutZone = std::move(zone); }

private:
    static constexpr std::size_t seedCount = 3;

    void addNode(const std::string &zone, std::size_t zoneNumber, std::size_t index)
    {
        Node &node = m_nodes.emplace_back();
        node.zone = zone;
        node.endpoint
            = {"10." + std::to_string(zoneNumber) + "." + std::to_string(index) + ".1", 7400};
        m_indexByAddress[node.endpoint.address] = m_nodes.size() - 1;
    }

    Node *nextTimer()
    {
        Node *next = nullptr;
        for (Node &node : m_nodes) {
            if (node.core && !node.isPaused
                && (!next || node.core->nextTimer() < next->core->nextTimer()))
                next = &node;
        }
        return next;
    }

    Actions takeActions(Node &node, const Event &event)
    {
        if (node.isPaused) {
            node.heldEvents.push_back(event);
            return {};
        }
        Actions actions;
        Actions others;
        node.core->handle(event, m_clock.now(), m_clock.wallNow(), actions);
        for (Action &action : actions) {
            if (auto *send = std::get_if<SendToNode>(&action)) {
                ++node.messagesSent;
                queueMessage(node, *send);
                continue;
            }
            if (const auto *watch = std::get_if<WatchPlatform>(&action)) {
                node.isReadingPlatform = watch->isOn;
                node.platformReads += watch->isOn ? 1 : 0;
            }
            if (const auto *read = std::get_if<ReadPlatformRevision>(&action)) {
                const auto revision = m_platformRevision ? m_platformRevision(node) : std::nullopt;
                if (revision)
                    m_messages.emplace_back(&node, PlatformRevisionRead {read->ticket, *revision});
            }
            if (m_keepsActions)
                node.pending.push_back(action);
            others.push_back(std::move(action));
        }
        return others;
    }

    void queueMessage(const Node &sender, const SendToNode &send)
    {
        const auto receiver = m_indexByAddress.find(send.endpoint.address);
        if (receiver == m_indexByAddress.end())
            return;
        Node &to = m_nodes[receiver->second];
        if (to.zone != sender.zone && (to.zone == m_cutZone || sender.zone == m_cutZone))
            return;
        const NodeId from(sender.zone + "-" + sender.endpoint.address);
        m_messages.emplace_back(&to, NodeMessage {from, sender.incarnation, send.message});
    }

    ManualClock m_clock;
    std::vector<Node> m_nodes;
    std::unordered_map<std::string, std::size_t> m_indexByAddress;
    std::vector<Endpoint> m_seeds;
    std::string m_cutZone;
    bool m_keepsActions = false;
    bool m_leavesRotationOnOverload = false;
    std::function<std::optional<std::uint64_t>(const Node &)> m_platformRevision;
    std::deque<std::pair<Node *, Event>> m_messages;
};

} // namespace berylridge::test
