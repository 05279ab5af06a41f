#include "berylridge/Idempotency/NodeView.h"

#include <algorithm>
#include <set>

namespace berylridge {

namespace {

bool isSame(const KeyMember &a, const KeyMember &b)
{
    return a.incarnation == b.incarnation && a.isHeard == b.isHeard && a.isLeaving == b.isLeaving
        && a.isGone == b.isGone;
}

} // namespace

NodeView::NodeView(const NodeRun &self, Duration silenceLimit)
    : m_silenceLimit(silenceLimit)
{
    // This run is the proof that the node's earlier ones are over.
    if (self.incarnation != 0)
        m_goneUpTo[self.node] = self.incarnation - 1;
}

bool NodeView::setMembers(std::span<const KeyMember> members)
{
    std::map<NodeId, KeyMember> next;
    for (const KeyMember &member : members) {
        next[member.node] = member;
        Incarnation &goneUpTo = m_goneUpTo[member.node];
        if (member.isGone)
            goneUpTo = std::max(goneUpTo, member.incarnation);
        if (member.incarnation > 0)
            goneUpTo = std::max(goneUpTo, member.incarnation - 1);
    }
    const bool isChanged = !std::equal(next.begin(), next.end(), m_members.begin(), m_members.end(),
                                       [](const auto &a, const auto &b) {
                                           return a.first == b.first && isSame(a.second, b.second);
                                       });
    m_members = std::move(next);
    return isChanged;
}

void NodeView::addEnded(const NodeRun &run)
{
    Incarnation &goneUpTo = m_goneUpTo[run.node];
    goneUpTo = std::max(goneUpTo, run.incarnation);
}

bool NodeView::setList(const VmList &list)
{
    if (list.revision <= m_list.revision)
        return false;
    m_list = list;
    return true;
}

bool NodeView::hear(const NodeRun &run)
{
    if (run.incarnation < latestRun(run.node) || isProvenGone(run))
        return false; // a late datagram of a run that has ended
    const bool isNew = heardRun(run.node) != run;
    m_heard[run.node] = {run.incarnation, m_now};
    Incarnation &goneUpTo = m_goneUpTo[run.node];
    goneUpTo = std::max(goneUpTo, run.incarnation - 1);
    return isNew;
}

Incarnation NodeView::latestRun(const NodeId &node) const
{
    Incarnation latest = 0;
    if (const auto it = m_members.find(node); it != m_members.end())
        latest = it->second.incarnation;
    if (const auto it = m_heard.find(node); it != m_heard.end())
        latest = std::max(latest, it->second.incarnation);
    return latest;
}

bool NodeView::isHeardNow(const NodeId &node, Incarnation incarnation) const
{
    const auto member = m_members.find(node);
    if (member != m_members.end() && member->second.incarnation == incarnation
        && member->second.isHeard) {
        return true;
    }
    const auto heard = m_heard.find(node);
    return heard != m_heard.end() && heard->second.incarnation == incarnation
        && m_now - heard->second.at < m_silenceLimit;
}

bool NodeView::isProvenGone(const NodeRun &run) const
{
    const auto proven = m_goneUpTo.find(run.node);
    return proven != m_goneUpTo.end() && run.incarnation <= proven->second;
}

bool NodeView::isGone(const NodeRun &run, std::uint64_t listRevision) const
{
    if (isProvenGone(run))
        return true;
    return m_list.revision > listRevision && !listed(run.node) && !isHeard(run);
}

bool NodeView::isHeard(const NodeRun &run) const
{
    return run.incarnation != 0 && heardRun(run.node) == run;
}

NodeRun NodeView::heardRun(const NodeId &node) const
{
    const Incarnation latest = latestRun(node);
    const bool isHeard = isHeardNow(node, latest) && !isProvenGone({node, latest});
    return {node, isHeard ? latest : 0};
}

bool NodeView::isSilent(const NodeId &node) const
{
    if (heardRun(node).incarnation != 0)
        return false;
    const Incarnation latest = latestRun(node);
    if (latest != 0)
        return !isProvenGone({node, latest});
    const auto it = m_members.find(node);
    return it == m_members.end() || !it->second.isGone;
}

std::vector<NodeRun> NodeView::heardRuns() const
{
    std::set<NodeRun> runs;
    for (const auto &[node, member] : m_members)
        runs.insert(heardRun(node));
    for (const auto &[node, heard] : m_heard)
        runs.insert(heardRun(node));
    std::erase_if(runs, [](const NodeRun &run) { return run.incarnation == 0; });
    return {runs.begin(), runs.end()};
}

bool NodeView::isLeaving(const NodeId &node) const
{
    const auto it = m_members.find(node);
    const VmEntry *entry = listed(node);
    return (it != m_members.end() && it->second.isLeaving) || (entry && entry->isLeaving);
}

const VmEntry *NodeView::listed(const NodeId &node) const
{
    const auto it = std::find_if(m_list.vms.begin(), m_list.vms.end(),
                                 [&](const VmEntry &entry) { return entry.node == node; });
    return it == m_list.vms.end() ? nullptr : &*it;
}

std::string NodeView::describe() const
{
    std::string text = std::to_string(m_list.revision) + ':';
    for (const auto &[node, member] : m_members) {
        text += node.str() + std::to_string(member.incarnation) + (member.isHeard ? 'h' : '-')
            + (member.isGone ? 'g' : '-') + ' ';
    }
    for (const NodeRun &run : heardRuns())
        text += run.node.str() + std::to_string(run.incarnation) + ' ';
    for (const auto &[node, incarnation] : m_goneUpTo)
        text += node.str() + std::to_string(incarnation) + ' ';
    return text;
}

} // namespace berylridge
