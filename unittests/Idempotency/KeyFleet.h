// Several key registries connected by a simulated network, in which tests partition zones, delay
// and drop messages.
#pragma once

#include "berylridge/Idempotency/KeyRegistry.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylridge::test {

/// Returns a UUIDv7 created at the given time; the number distinguishes keys with the same time.
inline std::string timestampedKey(WallTime createdAt, unsigned number = 1)
{
    const auto time = static_cast<unsigned long long>(createdAt.time_since_epoch().count());
    char text[64];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012x", time >> 16, time & 0xFFFF,
                  number);
    return scopedKey(ServiceId("shop"), WorkspaceId("w1"), text);
}

struct FakeMessage
{
    NodeIncarnation from;
    NodeId to;
    KeyMessage message;
};

class KeyFleet
{
public:
    struct Node
    {
        NodeIncarnation nodeIncarnation;
        ZoneId zone;
        KeyRegistry registry;
        bool isPaused = false;
    };

    std::deque<FakeMessage> network;
    std::vector<KeyDecision> decisions;          ///< The decisions of all nodes, oldest first.
    std::map<NodeId, std::optional<Node>> nodes; ///< Empty if the process has terminated.
    std::function<bool(const FakeMessage &)> isLost = [](const FakeMessage &) { return false; };

    TimePoint now() const { return m_clock.now(); }
    WallTime wall() const { return m_clock.wallNow(); }

    static KeyOptions options(const NodeIncarnation &nodeIncarnation)
    {
        KeyOptions options;
        options.node = nodeIncarnation.node;
        options.incarnation = nodeIncarnation.incarnation;
        return options;
    }

    /// Starts a process with empty state as the next incarnation of the node.
    void start(const std::string &name, const std::string &zone)
    {
        const NodeIncarnation nodeIncarnation {NodeId(name), ++m_incarnation};
        nodes[nodeIncarnation.node]
            = Node {nodeIncarnation, ZoneId(zone), KeyRegistry(options(nodeIncarnation))};
        if (m_list.revision != 0)
            setList(name);
    }

    /// Terminates a process. Its port then refuses connections, which reportTerminated() reports to
    /// the other nodes.
    void kill(const std::string &name)
    {
        const NodeId node(name);
        m_terminatedIncarnations[node] = nodes[node]->nodeIncarnation.incarnation;
        nodes[node].reset();
    }

    /// Loses the VM of a process: it neither responds nor refuses connections.
    void loseVm(const std::string &name) { nodes[NodeId(name)].reset(); }

    /// Creates the next revision of the VM list with the given nodes. setList() delivers it.
    void publishVmList(const std::vector<std::pair<std::string, std::string>> &vms)
    {
        ++m_list.revision;
        m_list.vms.clear();
        for (const auto &[name, zone] : vms)
            m_list.vms.push_back({NodeId(name), ZoneId(zone), "127.0.0.1", 1, false});
    }

    void setList(const std::string &name)
    {
        KeyOutput out;
        at(name).onVmList(m_list, now(), wall(), out);
        collect(NodeId(name), out);
    }

    void setListEverywhere()
    {
        for (auto &[node, state] : nodes) {
            if (state)
                setList(node.str());
        }
    }

    KeyRegistry &at(const std::string &name) { return nodes.at(NodeId(name))->registry; }

    void begin(const std::string &name, const std::string &key, KeyRequestId request = 1,
               std::uint64_t bodyHash = 7)
    {
        KeyOutput out;
        at(name).begin(request, key, bodyHash, now(), wall(), out);
        collect(NodeId(name), out);
    }

    Verdict release(const std::string &name, const std::string &key)
    {
        KeyOutput out;
        const Verdict verdict = at(name).release(key, out);
        collect(NodeId(name), out);
        return verdict;
    }

    /// Reports to a node which incarnations refused a connection.
    void reportTerminated(const std::string &name)
    {
        std::vector<KeyMember> members;
        for (const auto &[node, incarnation] : m_terminatedIncarnations)
            members.push_back({node, incarnation, false, false, true});
        KeyOutput out;
        at(name).onMembers(members, now(), wall(), out);
        collect(NodeId(name), out);
    }

    void collect(const NodeId &from, KeyOutput &out)
    {
        const NodeIncarnation nodeIncarnation = nodes.at(from)->nodeIncarnation;
        for (OutgoingKeyMessage &send : out.sends)
            network.push_back({nodeIncarnation, send.to, std::move(send.message)});
        for (KeyDecision &decision : out.decisions)
            decisions.push_back(std::move(decision));
        out = {};
    }

    void deliverOne()
    {
        const FakeMessage message = std::move(network.front());
        network.pop_front();
        const auto it = nodes.find(message.to);
        if (isLost(message) || it == nodes.end() || !it->second || it->second->isPaused)
            return;
        KeyOutput out;
        it->second->registry.onMessage(message.from.node, message.from.incarnation, message.message,
                                       now(), wall(), out);
        collect(message.to, out);
    }

    void deliverAll()
    {
        while (!network.empty())
            deliverOne();
    }

    /// Advances the time in small steps and delivers all messages in each step.
    void run(Duration time)
    {
        constexpr Duration step = std::chrono::milliseconds(50);
        for (Duration passed {0}; passed < time; passed += step) {
            m_clock.advance(step);
            for (auto &[node, state] : nodes) {
                if (!state || state->isPaused)
                    continue;
                KeyOutput out;
                state->registry.tick(now(), wall(), out);
                collect(node, out);
            }
            deliverAll();
        }
    }

    /// Advances the time without running any node.
    void advanceClock(Duration time) { m_clock.advance(time); }

    template <typename T>
    const T *lastDecision() const
    {
        return decisions.empty() ? nullptr : std::get_if<T>(&decisions.back());
    }

    std::size_t admissions() const
    {
        return static_cast<std::size_t>(
            std::count_if(decisions.begin(), decisions.end(), [](const KeyDecision &decision) {
                return std::holds_alternative<KeyAdmitted>(decision);
            }));
    }

private:
    ManualClock m_clock;
    VmList m_list;
    Incarnation m_incarnation = 100;
    std::map<NodeId, Incarnation> m_terminatedIncarnations;
};

/// Returns three zones with three nodes each, a1 to c3, that have agreed on witnesses.
inline KeyFleet startNineNodes()
{
    KeyFleet fleet;
    std::vector<std::pair<std::string, std::string>> vms;
    for (const std::string zone : {"a", "b", "c"}) {
        for (const std::string number : {"1", "2", "3"})
            vms.emplace_back(zone + number, zone);
    }
    fleet.publishVmList(vms);
    for (const auto &[name, zone] : vms)
        fleet.start(name, zone);
    fleet.run(std::chrono::seconds(10));
    return fleet;
}

} // namespace berylridge::test
