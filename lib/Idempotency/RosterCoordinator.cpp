#include "berylridge/Idempotency/RosterCoordinator.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace berylridge {

namespace {

constexpr std::size_t maxRostersPerUpdate = 6;
/// The delay between a failed proposal and the next one, in membershipStablePeriods.
constexpr int proposalBackoffFactor = 2;

std::chrono::milliseconds milliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

} // namespace

RosterCoordinator::RosterCoordinator(RosterCoordinatorOptions options)
    : m_options(std::move(options))
    , m_view(m_options.self, m_options.livenessTimeout)
    , m_nextProposalAt(TimePoint::max())
{
}

void RosterCoordinator::onMessageFrom(const NodeIncarnation &from, TimePoint now, KeyOutput &out)
{
    m_view.setNow(now);
    if (!m_view.recordMessage(from))
        return;
    m_nextProposalAt = now + m_options.membershipStablePeriod;
    sendRosterUpdate(from.node, out);
}

void RosterCoordinator::onMembers(std::span<const KeyMember> members, TimePoint now, KeyOutput &out)
{
    m_view.setNow(now);
    const std::vector<NodeIncarnation> before = m_view.aliveIncarnations();
    if (!m_view.setMembers(members))
        return;
    m_nextProposalAt = now + m_options.membershipStablePeriod;
    for (const NodeIncarnation &nodeIncarnation : m_view.aliveIncarnations()) {
        if (!std::binary_search(before.begin(), before.end(), nodeIncarnation))
            sendRosterUpdate(nodeIncarnation.node, out);
    }
}

void RosterCoordinator::onVmList(const VmList &list, TimePoint now)
{
    m_view.setNow(now);
    if (m_view.setList(list)) {
        m_nextProposalAt = now + m_options.membershipStablePeriod;
        m_nextGossipAt = now;
    }
}

std::vector<NodeIncarnation> RosterCoordinator::candidates(bool onlyAlive) const
{
    // Picks nodes from the zones in turn, so that the loss of a zone removes as few witnesses as
    // possible.
    std::map<ZoneId, std::vector<std::pair<std::uint64_t, NodeIncarnation>>> zones;
    for (const VmEntry &entry : m_view.list().vms) {
        const bool isSelf = entry.node == m_options.self.node;
        const NodeIncarnation nodeIncarnation
            = isSelf ? m_options.self : m_view.aliveIncarnation(entry.node);
        if (onlyAlive && (nodeIncarnation.incarnation == 0 || m_view.isLeaving(entry.node)))
            continue;
        zones[entry.zone].emplace_back(rendezvousWeight("roster", entry.node.str()),
                                       nodeIncarnation);
    }
    for (auto &[zone, nodeIncarnations] : zones)
        std::sort(nodeIncarnations.begin(), nodeIncarnations.end());
    std::vector<NodeIncarnation> wanted;
    for (bool isAnyAdded = true; isAnyAdded && wanted.size() < m_options.maxRosterMembers;) {
        isAnyAdded = false;
        for (auto &[zone, nodeIncarnations] : zones) {
            if (nodeIncarnations.empty() || wanted.size() >= m_options.maxRosterMembers)
                continue;
            wanted.push_back(nodeIncarnations.back().second);
            nodeIncarnations.pop_back();
            isAnyAdded = true;
        }
    }
    std::sort(wanted.begin(), wanted.end());
    return wanted;
}

bool RosterCoordinator::isChangeWanted(const std::vector<NodeIncarnation> &wanted) const
{
    if (wanted.empty())
        return false;
    const auto live = m_chain.live();
    // Keys created after the start of an undecided proposal have no witnesses, so such a proposal
    // requires a new roster.
    return live.size() != 1 || !live.front().isActive || live.front().members != wanted;
}

bool RosterCoordinator::isProposer() const
{
    // Any node may propose safely. Only the node with the lowest name does, so that proposals
    // rarely conflict.
    const auto alive = m_view.aliveIncarnations();
    return std::all_of(alive.begin(), alive.end(), [&](const NodeIncarnation &nodeIncarnation) {
        return m_options.self.node <= nodeIncarnation.node || m_view.isLeaving(nodeIncarnation.node)
            || !m_view.listed(nodeIncarnation.node);
    });
}

bool RosterCoordinator::includesMemberOf(const Roster &roster,
                                         const std::set<NodeIncarnation> &nodeIncarnations) const
{
    return std::any_of(
        roster.members.begin(), roster.members.end(),
        [&](const NodeIncarnation &member) { return nodeIncarnations.contains(member); });
}

bool RosterCoordinator::addListedRecipients(std::set<NodeIncarnation> &recipients) const
{
    // A list that does not name this node is older than this node, and may omit all members of a
    // current roster.
    if (!m_view.listed(m_options.self.node))
        return false;
    std::size_t listed = 0;
    for (const VmEntry &entry : m_view.list().vms) {
        const bool isSelf = entry.node == m_options.self.node;
        const NodeIncarnation nodeIncarnation
            = isSelf ? m_options.self : m_view.aliveIncarnation(entry.node);
        if (nodeIncarnation.incarnation != 0) {
            recipients.insert(nodeIncarnation);
            ++listed;
        } else if (m_view.isUnresponsive(entry.node)) {
            return false; // The node may be a member of a roster that no node here knows.
        }
    }
    for (const NodeIncarnation &nodeIncarnation : m_view.aliveIncarnations())
        recipients.insert(nodeIncarnation);
    return listed > m_view.list().vms.size() / 2;
}

std::optional<std::set<NodeIncarnation>> RosterCoordinator::proposalRecipients(
    const std::vector<NodeIncarnation> &wanted) const
{
    std::set<NodeIncarnation> recipients(wanted.begin(), wanted.end());
    recipients.insert(m_options.self);
    for (const Roster &roster : m_chain.live()) {
        for (const NodeIncarnation &member : roster.members) {
            if (member != m_options.self && m_view.isTerminated(member, roster.listRevision))
                continue;
            // An unresponsive member may still vote, and may have consented to a roster that no
            // node here knows.
            if (member != m_options.self && !m_view.isAlive(member))
                return std::nullopt;
            recipients.insert(member);
        }
    }
    const auto live = m_chain.live();
    const bool hasMemberOfEachRoster = !live.empty()
        && std::all_of(live.begin(), live.end(),
                       [&](const Roster &roster) { return includesMemberOf(roster, recipients); });
    // If no member of a known roster remains, its members may have agreed on another roster before
    // they terminated. The members of that roster are in the VM list or alive, so all of these
    // nodes are asked for consent.
    if (!hasMemberOfEachRoster && !addListedRecipients(recipients))
        return std::nullopt;
    return recipients;
}

std::chrono::milliseconds RosterCoordinator::minStartDelay() const
{
    return milliseconds(m_options.futureTolerance) + 2 * milliseconds(m_options.maxClockSkew);
}

void RosterCoordinator::propose(TimePoint now, WallTime wall, KeyOutput &out)
{
    const auto wanted = wantedMembers();
    if (!isProposer() || !isChangeWanted(wanted))
        return;
    auto recipients = proposalRecipients(wanted);
    if (!recipients)
        return;
    Proposal proposal;
    proposal.roster.proposer = m_options.self;
    proposal.roster.sequence = ++m_sequence;
    // A member that has terminated has voted only for keys created up to its own clock plus the
    // tolerance, and two clocks differ by at most twice maxClockSkew. The consent timeout is added
    // for the incarnations that are asked for consent.
    proposal.roster.startsAt = wall + minStartDelay() + milliseconds(m_options.consentTimeout);
    proposal.roster.listRevision = m_view.list().revision;
    proposal.roster.members = wanted;
    proposal.roster = makeRoster(rosterMessage(proposal.roster));
    for (const Roster &roster : m_chain.live())
        proposal.baseRosters.push_back(roster.id);
    proposal.recipients = std::move(*recipients);
    proposal.deadline = now + m_options.consentTimeout;
    if (!consent(proposal.roster, proposal.baseRosters, wall))
        return;
    proposal.consented.insert(m_options.self);
    m_proposal = std::move(proposal);
    sendProposal(now, out);
    tryToDecide(now, out);
}

void RosterCoordinator::sendProposal(TimePoint now, KeyOutput &out)
{
    for (const NodeIncarnation &nodeIncarnation : m_proposal->recipients) {
        if (!m_proposal->consented.contains(nodeIncarnation)) {
            out.sends.push_back(
                {nodeIncarnation.node,
                 RosterProposal {rosterMessage(m_proposal->roster), m_proposal->baseRosters}});
        }
    }
    m_proposal->resendAt = now + m_options.resendPeriod;
}

bool RosterCoordinator::consent(const Roster &roster, std::span<const RosterId> baseRosters,
                                WallTime wall)
{
    if (m_chain.find(roster.id))
        return true;
    // This incarnation may have voted for any key created up to its clock plus the tolerance. Those
    // keys must remain with the roster in which it voted because the members of the new roster do
    // not know them.
    if (roster.startsAt <= wall + milliseconds(m_options.futureTolerance))
        return false;
    const auto all = m_chain.all();
    if (!all.empty() && roster.startsAt <= all.back().startsAt)
        return false;
    // Consenting to a roster whose proposer does not ask the members of a roster that is live here
    // would let both rosters admit the same key.
    for (const Roster &live : m_chain.live()) {
        if (std::find(baseRosters.begin(), baseRosters.end(), live.id) == baseRosters.end())
            return false;
    }
    return m_chain.add(roster);
}

void RosterCoordinator::onProposal(const NodeIncarnation &from, const RosterProposal &proposal,
                                   TimePoint now, WallTime wall, KeyOutput &out)
{
    Roster roster = makeRoster(proposal.roster);
    roster.isActive = false;
    if (roster.proposer != from)
        return;
    if (m_proposal && from.node < m_options.self.node)
        abandonProposal(now, out);
    const bool isGranted = !m_proposal && consent(roster, proposal.baseRosters, wall);
    RosterProposalReply reply {roster.id, isGranted, {}};
    for (const Roster &live : m_chain.live()) {
        if (!isGranted && live.proposer != m_options.self)
            reply.known.push_back(rosterMessage(live));
    }
    // A roster proposed by this node is reported only once it is active. Until then this node alone
    // abandons or activates it.
    for (const Roster &live : m_chain.live()) {
        if (!isGranted && live.proposer == m_options.self && live.isActive)
            reply.known.push_back(rosterMessage(live));
    }
    out.sends.push_back({from.node, std::move(reply)});
}

void RosterCoordinator::onProposalReply(const NodeIncarnation &from,
                                        const RosterProposalReply &reply, TimePoint now,
                                        KeyOutput &out)
{
    const bool isCurrentProposal = m_proposal && m_proposal->roster.id == reply.roster;
    if (!isCurrentProposal)
        return;
    if (reply.isGranted) {
        m_proposal->consented.insert(from);
        tryToDecide(now, out);
        return;
    }
    abandonProposal(now, out);
    for (const RosterMessage &message : reply.known)
        m_chain.add(makeRoster(message));
    // The rejecting node may have missed the roster that the proposal is based on.
    sendRosterUpdate(from.node, out);
}

bool RosterCoordinator::hasAllConsents() const
{
    const auto &proposal = *m_proposal;
    for (const NodeIncarnation &nodeIncarnation : proposal.roster.members) {
        if (!proposal.consented.contains(nodeIncarnation))
            return false;
    }
    return std::all_of(proposal.recipients.begin(), proposal.recipients.end(),
                       [&](const NodeIncarnation &nodeIncarnation) {
                           return proposal.consented.contains(nodeIncarnation);
                       });
}

void RosterCoordinator::tryToDecide(TimePoint now, KeyOutput &out)
{
    if (hasAllConsents()) {
        activate(out);
        return;
    }
    if (now >= m_proposal->deadline)
        abandonProposal(now, out);
}

void RosterCoordinator::activate(KeyOutput &out)
{
    Roster roster = m_proposal->roster;
    roster.isActive = true;
    m_chain.add(roster);
    m_activated.insert(roster.id);
    for (const NodeIncarnation &nodeIncarnation : m_proposal->recipients)
        out.sends.push_back({nodeIncarnation.node, RosterDecision {roster.id, true}});
    m_proposal.reset();
    for (const NodeIncarnation &nodeIncarnation : m_view.aliveIncarnations())
        sendRosterUpdate(nodeIncarnation.node, out);
}

void RosterCoordinator::abandonProposal(TimePoint now, KeyOutput &out)
{
    // Only this incarnation could have activated the roster, so the consents given for it may be
    // dropped.
    m_chain.remove(m_proposal->roster.id);
    for (const NodeIncarnation &nodeIncarnation : m_proposal->recipients)
        out.sends.push_back({nodeIncarnation.node, RosterDecision {m_proposal->roster.id, false}});
    m_proposal.reset();
    m_nextProposalAt = now + proposalBackoffFactor * m_options.membershipStablePeriod;
}

void RosterCoordinator::onDecision(const NodeIncarnation &from, const RosterDecision &decision)
{
    const Roster *roster = m_chain.find(decision.roster);
    if (!roster || roster->proposer != from)
        return;
    if (!decision.isActive) {
        m_chain.remove(decision.roster);
        return;
    }
    Roster active = *roster;
    active.isActive = true;
    m_chain.add(active);
}

void RosterCoordinator::onRosterUpdate(const NodeIncarnation &from, const RosterUpdate &update,
                                       KeyOutput &out)
{
    for (const RosterMessage &message : update.rosters) {
        const Roster roster = makeRoster(message);
        if (message.isActive) {
            m_chain.add(roster);
            continue;
        }
        // The sender asks whether a proposed roster that it consented to became active. No reply is
        // sent while the proposal is pending.
        const bool isPending = m_proposal && m_proposal->roster.id == roster.id;
        if (roster.proposer == m_options.self && !isPending)
            out.sends.push_back(
                {from.node, RosterDecision {roster.id, m_activated.contains(roster.id)}});
    }
    // Nodes probe only the nodes of their own zone, but the proposer may be in another zone.
    for (const RosterMemberMessage &nodeIncarnation : update.terminated)
        m_view.addTerminated({NodeId(nodeIncarnation.node), nodeIncarnation.incarnation});
    const Roster *latest = m_chain.lastActive();
    if (latest && latest->id != update.latest)
        sendRosterUpdate(from.node, out);
}

void RosterCoordinator::sendRosterUpdate(const NodeId &to, KeyOutput &out) const
{
    if (to == m_options.self.node)
        return;
    RosterUpdate update;
    const Roster *latest = m_chain.lastActive();
    update.latest = latest ? latest->id : 0;
    update.terminated = terminatedMembers();
    const auto all = m_chain.all();
    for (auto it = all.rbegin(); it != all.rend() && update.rosters.size() < maxRostersPerUpdate;
         ++it) {
        if (it->isActive)
            update.rosters.push_back(rosterMessage(*it));
    }
    out.sends.push_back({to, std::move(update)});
}

std::vector<RosterMemberMessage> RosterCoordinator::terminatedMembers() const
{
    std::vector<RosterMemberMessage> terminated;
    for (const Roster &roster : m_chain.live()) {
        for (const NodeIncarnation &member : roster.members) {
            if (m_view.isProvenTerminated(member))
                terminated.push_back({member.node.str(), member.incarnation});
        }
    }
    return terminated;
}

void RosterCoordinator::sendGossip(TimePoint now, KeyOutput &out)
{
    m_nextGossipAt = now + m_options.gossipPeriod;
    std::set<NodeId> peers;
    for (const NodeIncarnation &nodeIncarnation : candidates(false))
        peers.insert(nodeIncarnation.node);
    const Roster *latest = m_chain.lastActive();
    for (const NodeIncarnation &member : latest ? latest->members : std::vector<NodeIncarnation>())
        peers.insert(member.node);
    peers.erase(m_options.self.node);
    for (const NodeId &peer : peers)
        out.sends.push_back(
            {peer, RosterUpdate {latest ? latest->id : 0, {}, terminatedMembers()}});
    for (const Roster &roster : m_chain.live()) {
        if (!roster.isActive && roster.proposer != m_options.self)
            out.sends.push_back(
                {roster.proposer.node, RosterUpdate {0, {rosterMessage(roster)}, {}}});
    }
}

void RosterCoordinator::tick(TimePoint now, WallTime wall, KeyOutput &out)
{
    m_view.setNow(now);
    if (m_proposal && now >= m_proposal->resendAt)
        sendProposal(now, out);
    if (m_proposal)
        tryToDecide(now, out);
    if (!m_proposal && now >= m_nextProposalAt) {
        m_nextProposalAt = now + m_options.membershipStablePeriod;
        propose(now, wall, out);
    }
    if (now >= m_nextGossipAt)
        sendGossip(now, out);
    m_chain.prune(wall - milliseconds(m_options.lifetime));
}

TimePoint RosterCoordinator::nextTimer() const
{
    TimePoint next = std::min(m_nextGossipAt, m_nextProposalAt);
    if (m_proposal)
        next = std::min({next, m_proposal->resendAt, m_proposal->deadline});
    return next;
}

std::string RosterCoordinator::describe() const
{
    std::string text = m_chain.describe() + m_view.describe();
    text += std::to_string(m_nextProposalAt.time_since_epoch().count()) + ' '
        + std::to_string(m_nextGossipAt.time_since_epoch().count());
    if (!m_proposal)
        return text;
    text += '!' + std::to_string(m_proposal->roster.id) + ' '
        + std::to_string(m_proposal->deadline.time_since_epoch().count());
    for (const NodeIncarnation &nodeIncarnation : m_proposal->consented)
        text += ' ' + nodeIncarnation.node.str() + std::to_string(nodeIncarnation.incarnation);
    return text;
}

} // namespace berylridge
