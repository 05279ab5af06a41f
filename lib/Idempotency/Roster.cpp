#include "berylridge/Idempotency/Roster.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>

namespace berylridge {

namespace {

bool isBefore(const Roster &a, const Roster &b)
{
    return std::pair(a.startsAt, a.id) < std::pair(b.startsAt, b.id);
}

RosterId rosterId(const Roster &roster)
{
    std::string text = roster.proposer.node.str() + ' '
        + std::to_string(roster.proposer.incarnation) + ' ' + std::to_string(roster.sequence) + ' '
        + std::to_string(roster.startsAt.time_since_epoch().count());
    for (const NodeIncarnation &member : roster.members)
        text += ' ' + member.node.str() + ' ' + std::to_string(member.incarnation);
    return hash64(text) | 1; // Avoids 0, which means no roster.
}

} // namespace

bool Roster::contains(const NodeIncarnation &nodeIncarnation) const
{
    return std::binary_search(members.begin(), members.end(), nodeIncarnation);
}

Roster makeRoster(const RosterMessage &message)
{
    Roster roster;
    roster.proposer = {NodeId(message.proposer), message.proposerIncarnation};
    roster.sequence = message.sequence;
    roster.startsAt = WallTime(std::chrono::milliseconds(message.startsAt));
    roster.isActive = message.isActive;
    roster.listRevision = message.listRevision;
    for (const RosterMemberMessage &member : message.members)
        roster.members.push_back({NodeId(member.node), member.incarnation});
    std::sort(roster.members.begin(), roster.members.end());
    roster.id = rosterId(roster);
    return roster;
}

RosterMessage rosterMessage(const Roster &roster)
{
    RosterMessage message;
    message.proposer = roster.proposer.node.str();
    message.proposerIncarnation = roster.proposer.incarnation;
    message.sequence = roster.sequence;
    message.startsAt = roster.startsAt.time_since_epoch().count();
    message.isActive = roster.isActive;
    message.listRevision = roster.listRevision;
    for (const NodeIncarnation &member : roster.members)
        message.members.push_back({member.node.str(), member.incarnation});
    return message;
}

const Roster *RosterChain::rosterAt(WallTime createdAt) const
{
    const auto next
        = std::partition_point(m_rosters.begin(), m_rosters.end(),
                               [&](const Roster &roster) { return roster.startsAt < createdAt; });
    return next == m_rosters.begin() ? nullptr : &*std::prev(next);
}

const Roster *RosterChain::find(RosterId id) const
{
    const auto it = std::find_if(m_rosters.begin(), m_rosters.end(),
                                 [&](const Roster &roster) { return roster.id == id; });
    return it == m_rosters.end() ? nullptr : &*it;
}

const Roster *RosterChain::lastActive() const
{
    const auto it = std::find_if(m_rosters.rbegin(), m_rosters.rend(),
                                 [](const Roster &roster) { return roster.isActive; });
    return it == m_rosters.rend() ? nullptr : &*it;
}

std::span<const Roster> RosterChain::live() const
{
    const std::span<const Roster> rosters = m_rosters;
    const Roster *active = lastActive();
    return active ? rosters.subspan(static_cast<std::size_t>(active - rosters.data())) : rosters;
}

bool RosterChain::add(const Roster &roster)
{
    const auto it = std::lower_bound(m_rosters.begin(), m_rosters.end(), roster, isBefore);
    if (it == m_rosters.end() || it->id != roster.id) {
        m_rosters.insert(it, roster);
        return true;
    }
    const bool isChanged = roster.isActive && !it->isActive;
    it->isActive |= roster.isActive;
    return isChanged;
}

void RosterChain::remove(RosterId id)
{
    std::erase_if(m_rosters,
                  [&](const Roster &roster) { return roster.id == id && !roster.isActive; });
}

void RosterChain::prune(WallTime before)
{
    const auto live = this->live();
    std::size_t count = 0;
    const std::size_t superseded = m_rosters.size() - live.size();
    while (count < superseded && m_rosters[count + 1].startsAt < before)
        ++count;
    m_rosters.erase(m_rosters.begin(), m_rosters.begin() + static_cast<std::ptrdiff_t>(count));
}

std::string RosterChain::describe() const
{
    std::string text;
    for (const Roster &roster : m_rosters)
        text += std::to_string(roster.id) + (roster.isActive ? "+ " : "? ");
    return text;
}

} // namespace berylridge
