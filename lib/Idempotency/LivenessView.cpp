#include "berylridge/Idempotency/LivenessView.h"

#include <algorithm>
#include <set>

namespace berylridge {

namespace {

bool hasSameState(const KeyMember &a, const KeyMember &b)
{
    return a.incarnation == b.incarnation && a.isAlive == b.isAlive && a.isLeaving == b.isLeaving
        && a.isTerminated == b.isTerminated;
}

} // namespace

LivenessView::LivenessView(const NodeIncarnation &self, Duration livenessTimeout)
    : m_livenessTimeout(livenessTimeout)
{
    // The start of this incarnation proves that the node's earlier incarnations have terminated.
    if (self.incarnation != 0)
        m_terminatedUpTo[self.node] = self.incarnation - 1;
}

bool LivenessView::setMembers(std::span<const KeyMember> members)
{
    std::map<NodeId, KeyMember> next;
    for (const KeyMember &member : members) {
        next[member.node] = member;
        Incarnation &terminatedUpTo = m_terminatedUpTo[member.node];
        if (member.isTerminated)
            terminatedUpTo = std::max(terminatedUpTo, member.incarnation);
        if (member.incarnation > 0)
            terminatedUpTo = std::max(terminatedUpTo, member.incarnation - 1);
    }
    const bool isChanged
        = !std::equal(next.begin(), next.end(), m_members.begin(), m_members.end(),
                      [](const auto &a, const auto &b) {
                          return a.first == b.first && hasSameState(a.second, b.second);
                      });
    m_members = std::move(next);
    return isChanged;
}

void LivenessView::addTerminated(const NodeIncarnation &nodeIncarnation)
{
    Incarnation &terminatedUpTo = m_terminatedUpTo[nodeIncarnation.node];
    terminatedUpTo = std::max(terminatedUpTo, nodeIncarnation.incarnation);
}

bool LivenessView::setList(const VmList &list)
{
    if (list.revision <= m_list.revision)
        return false;
    m_list = list;
    return true;
}

bool LivenessView::recordMessage(const NodeIncarnation &nodeIncarnation)
{
    if (nodeIncarnation.incarnation < latestIncarnation(nodeIncarnation.node)
        || isProvenTerminated(nodeIncarnation))
        return false; // A delayed datagram of an incarnation that has terminated.
    const bool isNew = aliveIncarnation(nodeIncarnation.node) != nodeIncarnation;
    m_lastMessages[nodeIncarnation.node] = {nodeIncarnation.incarnation, m_now};
    Incarnation &terminatedUpTo = m_terminatedUpTo[nodeIncarnation.node];
    terminatedUpTo = std::max(terminatedUpTo, nodeIncarnation.incarnation - 1);
    return isNew;
}

Incarnation LivenessView::latestIncarnation(const NodeId &node) const
{
    Incarnation latest = 0;
    if (const auto it = m_members.find(node); it != m_members.end())
        latest = it->second.incarnation;
    if (const auto it = m_lastMessages.find(node); it != m_lastMessages.end())
        latest = std::max(latest, it->second.incarnation);
    return latest;
}

bool LivenessView::isIncarnationAlive(const NodeId &node, Incarnation incarnation) const
{
    const auto member = m_members.find(node);
    if (member != m_members.end() && member->second.incarnation == incarnation
        && member->second.isAlive) {
        return true;
    }
    const auto lastMessage = m_lastMessages.find(node);
    return lastMessage != m_lastMessages.end() && lastMessage->second.incarnation == incarnation
        && m_now - lastMessage->second.at < m_livenessTimeout;
}

bool LivenessView::isProvenTerminated(const NodeIncarnation &nodeIncarnation) const
{
    const auto proven = m_terminatedUpTo.find(nodeIncarnation.node);
    return proven != m_terminatedUpTo.end() && nodeIncarnation.incarnation <= proven->second;
}

bool LivenessView::isTerminated(const NodeIncarnation &nodeIncarnation,
                                std::uint64_t listRevision) const
{
    if (isProvenTerminated(nodeIncarnation))
        return true;
    return m_list.revision > listRevision && !listed(nodeIncarnation.node)
        && !isAlive(nodeIncarnation);
}

bool LivenessView::isAlive(const NodeIncarnation &nodeIncarnation) const
{
    return nodeIncarnation.incarnation != 0
        && aliveIncarnation(nodeIncarnation.node) == nodeIncarnation;
}

NodeIncarnation LivenessView::aliveIncarnation(const NodeId &node) const
{
    const Incarnation latest = latestIncarnation(node);
    const bool isAlive = isIncarnationAlive(node, latest) && !isProvenTerminated({node, latest});
    return {node, isAlive ? latest : 0};
}

bool LivenessView::isUnresponsive(const NodeId &node) const
{
    if (aliveIncarnation(node).incarnation != 0)
        return false;
    const Incarnation latest = latestIncarnation(node);
    if (latest != 0)
        return !isProvenTerminated({node, latest});
    const auto it = m_members.find(node);
    return it == m_members.end() || !it->second.isTerminated;
}

std::vector<NodeIncarnation> LivenessView::aliveIncarnations() const
{
    std::set<NodeIncarnation> nodeIncarnations;
    for (const auto &[node, member] : m_members)
        nodeIncarnations.insert(aliveIncarnation(node));
    for (const auto &[node, lastMessage] : m_lastMessages)
        nodeIncarnations.insert(aliveIncarnation(node));
    std::erase_if(nodeIncarnations, [](const NodeIncarnation &nodeIncarnation) {
        return nodeIncarnation.incarnation == 0;
    });
    return {nodeIncarnations.begin(), nodeIncarnations.end()};
}

bool LivenessView::isLeaving(const NodeId &node) const
{
    const auto it = m_members.find(node);
    const VmEntry *entry = listed(node);
    return (it != m_members.end() && it->second.isLeaving) || (entry && entry->isLeaving);
}

const VmEntry *LivenessView::listed(const NodeId &node) const
{
    const auto it = std::find_if(m_list.vms.begin(), m_list.vms.end(),
                                 [&](const VmEntry &entry) { return entry.node == node; });
    return it == m_list.vms.end() ? nullptr : &*it;
}

std::string LivenessView::describe() const
{
    std::string text = std::to_string(m_list.revision) + ':';
    for (const auto &[node, member] : m_members) {
        text += node.str() + std::to_string(member.incarnation) + (member.isAlive ? 'h' : '-')
            + (member.isTerminated ? 'g' : '-') + ' ';
    }
    for (const NodeIncarnation &nodeIncarnation : aliveIncarnations())
        text += nodeIncarnation.node.str() + std::to_string(nodeIncarnation.incarnation) + ' ';
    for (const auto &[node, incarnation] : m_terminatedUpTo)
        text += node.str() + std::to_string(incarnation) + ' ';
    return text;
}

} // namespace berylridge
