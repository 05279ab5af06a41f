#include "berylridge/Idempotency/RosterKeeper.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace berylridge {

namespace {

constexpr std::size_t rostersPerNews = 6;
/// Between a proposal that failed and the next, in settle times.
constexpr int backoffFactor = 2;

std::chrono::milliseconds milliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

} // namespace

RosterKeeper::RosterKeeper(RosterOptions options)
    : m_options(std::move(options))
    , m_view(m_options.self, m_options.silenceLimit)
    , m_proposeAfter(TimePoint::max())
{
}

void RosterKeeper::onHeard(const NodeRun &from, TimePoint now, KeyOutput &out)
{
    m_view.setNow(now);
    if (!m_view.hear(from))
        return;
    m_proposeAfter = now + m_options.settleTime;
    sendNews(from.node, out);
}

void RosterKeeper::onMembers(std::span<const KeyMember> members, TimePoint now, KeyOutput &out)
{
    m_view.setNow(now);
    const std::vector<NodeRun> before = m_view.heardRuns();
    if (!m_view.setMembers(members))
        return;
    m_proposeAfter = now + m_options.settleTime;
    for (const NodeRun &run : m_view.heardRuns()) {
        if (!std::binary_search(before.begin(), before.end(), run))
            sendNews(run.node, out);
    }
}

void RosterKeeper::onVmList(const VmList &list, TimePoint now)
{
    m_view.setNow(now);
    if (m_view.setList(list)) {
        m_proposeAfter = now + m_options.settleTime;
        m_gossipAt = now;
    }
}

std::vector<NodeRun> RosterKeeper::candidates(bool areHeard) const
{
    // Zone by zone in turn, so that a lost zone takes as few of them as can be.
    std::map<ZoneId, std::vector<std::pair<std::uint64_t, NodeRun>>> zones;
    for (const VmEntry &entry : m_view.list().vms) {
        const bool isSelf = entry.node == m_options.self.node;
        const NodeRun run = isSelf ? m_options.self : m_view.heardRun(entry.node);
        if (areHeard && (run.incarnation == 0 || m_view.isLeaving(entry.node)))
            continue;
        zones[entry.zone].emplace_back(rendezvousWeight("roster", entry.node.str()), run);
    }
    for (auto &[zone, runs] : zones)
        std::sort(runs.begin(), runs.end());
    std::vector<NodeRun> wanted;
    for (bool isAny = true; isAny && wanted.size() < m_options.rosterLimit;) {
        isAny = false;
        for (auto &[zone, runs] : zones) {
            if (runs.empty() || wanted.size() >= m_options.rosterLimit)
                continue;
            wanted.push_back(runs.back().second);
            runs.pop_back();
            isAny = true;
        }
    }
    std::sort(wanted.begin(), wanted.end());
    return wanted;
}

bool RosterKeeper::isChangeWanted(const std::vector<NodeRun> &wanted) const
{
    if (wanted.empty())
        return false;
    const auto open = m_chain.open();
    // A proposal that was never decided leaves the keys after it without witnesses.
    return open.size() != 1 || !open.front().isActive || open.front().members != wanted;
}

bool RosterKeeper::isProposer() const
{
    // Any node may propose; the lowest name does, so that proposals seldom cross.
    const auto heard = m_view.heardRuns();
    return std::all_of(heard.begin(), heard.end(), [&](const NodeRun &run) {
        return m_options.self.node <= run.node || m_view.isLeaving(run.node)
            || !m_view.listed(run.node);
    });
}

bool RosterKeeper::hasSurvivor(const Roster &roster, const std::set<NodeRun> &runs) const
{
    return std::any_of(roster.members.begin(), roster.members.end(),
                       [&](const NodeRun &member) { return runs.contains(member); });
}

bool RosterKeeper::addListedRuns(std::set<NodeRun> &runs) const
{
    // A list that doesn't name this node is older than it: it may leave out all who are in a
    // roster.
    if (!m_view.listed(m_options.self.node))
        return false;
    std::size_t listed = 0;
    for (const VmEntry &entry : m_view.list().vms) {
        const bool isSelf = entry.node == m_options.self.node;
        const NodeRun run = isSelf ? m_options.self : m_view.heardRun(entry.node);
        if (run.incarnation != 0) {
            runs.insert(run);
            ++listed;
        } else if (m_view.isSilent(entry.node)) {
            return false; // it may be in a roster that nobody here has heard of
        }
    }
    for (const NodeRun &run : m_view.heardRuns())
        runs.insert(run);
    return listed > m_view.list().vms.size() / 2;
}

std::optional<std::set<NodeRun>> RosterKeeper::runsToAsk(const std::vector<NodeRun> &wanted) const
{
    std::set<NodeRun> runs(wanted.begin(), wanted.end());
    runs.insert(m_options.self);
    for (const Roster &roster : m_chain.open()) {
        for (const NodeRun &member : roster.members) {
            if (member != m_options.self && m_view.isGone(member, roster.listRevision))
                continue;
            // A silent member may still vote, and may have consented to what nobody here knows.
            if (member != m_options.self && !m_view.isHeard(member))
                return std::nullopt;
            runs.insert(member);
        }
    }
    const auto open = m_chain.open();
    const bool isSuccession = !open.empty()
        && std::all_of(open.begin(), open.end(),
                       [&](const Roster &roster) { return hasSurvivor(roster, runs); });
    // Where no member of a known roster is left, they may have made another one before they went.
    // Its members stand in the list or are heard, so all of these are asked.
    if (!isSuccession && !addListedRuns(runs))
        return std::nullopt;
    return runs;
}

std::chrono::milliseconds RosterKeeper::leadTime() const
{
    return milliseconds(m_options.futureTolerance) + 2 * milliseconds(m_options.clockSkew);
}

void RosterKeeper::propose(TimePoint now, WallTime wall, KeyOutput &out)
{
    const auto wanted = wantedMembers();
    if (!isProposer() || !isChangeWanted(wanted))
        return;
    auto asked = runsToAsk(wanted);
    if (!asked)
        return;
    Proposal proposal;
    proposal.roster.proposer = m_options.self;
    proposal.roster.sequence = ++m_sequence;
    // Members that are gone by now voted for no key beyond their own clocks and the tolerance, and
    // two clocks differ by two skews at most. The window is for those that are asked.
    proposal.roster.startsAt = wall + leadTime() + milliseconds(m_options.decisionWindow);
    proposal.roster.listRevision = m_view.list().revision;
    proposal.roster.members = wanted;
    proposal.roster = makeRoster(rosterMessage(proposal.roster));
    for (const Roster &roster : m_chain.open())
        proposal.basis.push_back(roster.id);
    proposal.asked = std::move(*asked);
    proposal.deadline = now + m_options.decisionWindow;
    if (!consent(proposal.roster, proposal.basis, wall))
        return;
    proposal.consented.insert(m_options.self);
    m_proposal = std::move(proposal);
    sendProposal(now, out);
    decide(now, out);
}

void RosterKeeper::sendProposal(TimePoint now, KeyOutput &out)
{
    for (const NodeRun &run : m_proposal->asked) {
        if (!m_proposal->consented.contains(run)) {
            out.sends.push_back(
                {run.node, RosterProposal {rosterMessage(m_proposal->roster), m_proposal->basis}});
        }
    }
    m_proposal->resendAt = now + m_options.resendPeriod;
}

bool RosterKeeper::consent(const Roster &roster, std::span<const RosterId> basis, WallTime wall)
{
    if (m_chain.find(roster.id))
        return true;
    // This run may have voted for any key up to the tolerance. Those keys must stay with the roster
    // in which it voted: the new one's members know nothing of them.
    if (roster.startsAt <= wall + milliseconds(m_options.futureTolerance))
        return false;
    const auto all = m_chain.all();
    if (!all.empty() && roster.startsAt <= all.back().startsAt)
        return false;
    // Consent to a roster whose proposer doesn't ask the members of one that is open here would let
    // both admit a key.
    for (const Roster &open : m_chain.open()) {
        if (std::find(basis.begin(), basis.end(), open.id) == basis.end())
            return false;
    }
    return m_chain.add(roster);
}

void RosterKeeper::onProposal(const NodeRun &from, const RosterProposal &proposal, TimePoint now,
                              WallTime wall, KeyOutput &out)
{
    Roster roster = makeRoster(proposal.roster);
    roster.isActive = false;
    if (roster.proposer != from)
        return;
    if (m_proposal && from.node < m_options.self.node)
        giveUp(now, out);
    const bool isGiven = !m_proposal && consent(roster, proposal.basis, wall);
    RosterConsent answer {roster.id, isGiven, {}};
    for (const Roster &open : m_chain.open()) {
        if (!isGiven && open.proposer != m_options.self)
            answer.known.push_back(rosterMessage(open));
    }
    // An own roster is told only once it is active: a proposed one is given up or decided here.
    for (const Roster &open : m_chain.open()) {
        if (!isGiven && open.proposer == m_options.self && open.isActive)
            answer.known.push_back(rosterMessage(open));
    }
    out.sends.push_back({from.node, std::move(answer)});
}

void RosterKeeper::onConsent(const NodeRun &from, const RosterConsent &consent, TimePoint now,
                             KeyOutput &out)
{
    const bool isOurs = m_proposal && m_proposal->roster.id == consent.roster;
    if (!isOurs)
        return;
    if (consent.isGiven) {
        m_proposal->consented.insert(from);
        decide(now, out);
        return;
    }
    giveUp(now, out);
    for (const RosterMessage &message : consent.known)
        m_chain.add(makeRoster(message));
    // The refusal may come from a node that missed the roster on which the proposal builds.
    sendNews(from.node, out);
}

bool RosterKeeper::isComplete() const
{
    const auto &proposal = *m_proposal;
    for (const NodeRun &run : proposal.roster.members) {
        if (!proposal.consented.contains(run))
            return false;
    }
    return std::all_of(proposal.asked.begin(), proposal.asked.end(),
                       [&](const NodeRun &run) { return proposal.consented.contains(run); });
}

void RosterKeeper::decide(TimePoint now, KeyOutput &out)
{
    if (isComplete()) {
        activate(out);
        return;
    }
    if (now >= m_proposal->deadline)
        giveUp(now, out);
}

void RosterKeeper::activate(KeyOutput &out)
{
    Roster roster = m_proposal->roster;
    roster.isActive = true;
    m_chain.add(roster);
    m_activated.insert(roster.id);
    for (const NodeRun &run : m_proposal->asked)
        out.sends.push_back({run.node, RosterDecision {roster.id, true}});
    m_proposal.reset();
    for (const NodeRun &run : m_view.heardRuns())
        sendNews(run.node, out);
}

void RosterKeeper::giveUp(TimePoint now, KeyOutput &out)
{
    // Only this run could have made it active, so the promises given for it may lapse.
    m_chain.remove(m_proposal->roster.id);
    for (const NodeRun &run : m_proposal->asked)
        out.sends.push_back({run.node, RosterDecision {m_proposal->roster.id, false}});
    m_proposal.reset();
    m_proposeAfter = now + backoffFactor * m_options.settleTime;
}

void RosterKeeper::onDecision(const NodeRun &from, const RosterDecision &decision)
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

void RosterKeeper::onNews(const NodeRun &from, const RosterNews &news, KeyOutput &out)
{
    for (const RosterMessage &message : news.rosters) {
        const Roster roster = makeRoster(message);
        if (message.isActive) {
            m_chain.add(roster);
            continue;
        }
        // The sender asks how its consent ended. A roster still to be decided is not answered.
        const bool isOpen = m_proposal && m_proposal->roster.id == roster.id;
        if (roster.proposer == m_options.self && !isOpen)
            out.sends.push_back(
                {from.node, RosterDecision {roster.id, m_activated.contains(roster.id)}});
    }
    // Only the nodes of a zone probe each other, and the proposer may sit in another one.
    for (const RosterMemberMessage &run : news.ended)
        m_view.addEnded({NodeId(run.node), run.incarnation});
    const Roster *latest = m_chain.lastActive();
    if (latest && latest->id != news.latest)
        sendNews(from.node, out);
}

void RosterKeeper::sendNews(const NodeId &to, KeyOutput &out) const
{
    if (to == m_options.self.node)
        return;
    RosterNews news;
    const Roster *latest = m_chain.lastActive();
    news.latest = latest ? latest->id : 0;
    news.ended = endedMembers();
    const auto all = m_chain.all();
    for (auto it = all.rbegin(); it != all.rend() && news.rosters.size() < rostersPerNews; ++it) {
        if (it->isActive)
            news.rosters.push_back(rosterMessage(*it));
    }
    out.sends.push_back({to, std::move(news)});
}

std::vector<RosterMemberMessage> RosterKeeper::endedMembers() const
{
    std::vector<RosterMemberMessage> ended;
    for (const Roster &roster : m_chain.open()) {
        for (const NodeRun &member : roster.members) {
            if (m_view.isProvenGone(member))
                ended.push_back({member.node.str(), member.incarnation});
        }
    }
    return ended;
}

void RosterKeeper::gossip(TimePoint now, KeyOutput &out)
{
    m_gossipAt = now + m_options.gossipPeriod;
    std::set<NodeId> peers;
    for (const NodeRun &run : candidates(false))
        peers.insert(run.node);
    const Roster *latest = m_chain.lastActive();
    for (const NodeRun &member : latest ? latest->members : std::vector<NodeRun>())
        peers.insert(member.node);
    peers.erase(m_options.self.node);
    for (const NodeId &peer : peers)
        out.sends.push_back({peer, RosterNews {latest ? latest->id : 0, {}, endedMembers()}});
    for (const Roster &roster : m_chain.open()) {
        if (!roster.isActive && roster.proposer != m_options.self)
            out.sends.push_back(
                {roster.proposer.node, RosterNews {0, {rosterMessage(roster)}, {}}});
    }
}

void RosterKeeper::tick(TimePoint now, WallTime wall, KeyOutput &out)
{
    m_view.setNow(now);
    if (m_proposal && now >= m_proposal->resendAt)
        sendProposal(now, out);
    if (m_proposal)
        decide(now, out);
    if (!m_proposal && now >= m_proposeAfter) {
        m_proposeAfter = now + m_options.settleTime;
        propose(now, wall, out);
    }
    if (now >= m_gossipAt)
        gossip(now, out);
    m_chain.prune(wall - milliseconds(m_options.lifetime));
}

TimePoint RosterKeeper::nextTimer() const
{
    TimePoint next = std::min(m_gossipAt, m_proposeAfter);
    if (m_proposal)
        next = std::min({next, m_proposal->resendAt, m_proposal->deadline});
    return next;
}

std::string RosterKeeper::describe() const
{
    std::string text = m_chain.describe() + m_view.describe();
    text += std::to_string(m_proposeAfter.time_since_epoch().count()) + ' '
        + std::to_string(m_gossipAt.time_since_epoch().count());
    if (!m_proposal)
        return text;
    text += '!' + std::to_string(m_proposal->roster.id) + ' '
        + std::to_string(m_proposal->deadline.time_since_epoch().count());
    for (const NodeRun &run : m_proposal->consented)
        text += ' ' + run.node.str() + std::to_string(run.incarnation);
    return text;
}

} // namespace berylridge
