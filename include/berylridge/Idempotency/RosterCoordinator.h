// Agrees with other nodes on the next roster. The proposer alone decides on its proposal, once
// every incarnation that could still vote in the previous rosters has consented or is proven to
// have terminated.
#pragma once

#include "berylridge/Idempotency/KeyOutput.h"
#include "berylridge/Idempotency/LivenessView.h"
#include "berylridge/Idempotency/Roster.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace berylridge {

struct RosterCoordinatorOptions
{
    NodeIncarnation self;
    Duration lifetime {0};
    Duration futureTolerance {0};
    Duration maxClockSkew {0};
    /// How long a proposer waits until all recipients have consented.
    Duration consentTimeout {0};
    /// How long the set of members must be unchanged before a proposal.
    Duration membershipStablePeriod {0};
    /// How long an incarnation counts as alive after its last message.
    Duration livenessTimeout {0};
    Duration gossipPeriod = std::chrono::seconds(1);
    Duration resendPeriod {0};
    std::size_t maxRosterMembers = 9;
};

class RosterCoordinator
{
public:
    explicit RosterCoordinator(RosterCoordinatorOptions options);

    const RosterChain &chain() const { return m_chain; }
    const LivenessView &view() const { return m_view; }

    /// Records that a message arrived. Must be called for each message before the message is
    /// handled.
    void onMessageFrom(const NodeIncarnation &from, TimePoint now, KeyOutput &out);
    void onMembers(std::span<const KeyMember> members, TimePoint now, KeyOutput &out);
    void onVmList(const VmList &list, TimePoint now);
    void onProposal(const NodeIncarnation &from, const RosterProposal &proposal, TimePoint now,
                    WallTime wall, KeyOutput &out);
    void onProposalReply(const NodeIncarnation &from, const RosterProposalReply &reply,
                         TimePoint now, KeyOutput &out);
    void onDecision(const NodeIncarnation &from, const RosterDecision &decision);
    void onRosterUpdate(const NodeIncarnation &from, const RosterUpdate &update, KeyOutput &out);
    void tick(TimePoint now, WallTime wall, KeyOutput &out);
    TimePoint nextTimer() const;

    /// Sends the rosters that are active on this node.
    void sendRosterUpdate(const NodeId &to, KeyOutput &out) const;

    std::string describe() const;

private:
    struct Proposal
    {
        Roster roster;
        std::vector<RosterId> baseRosters;
        std::set<NodeIncarnation> recipients;
        std::set<NodeIncarnation> consented;
        TimePoint deadline;
        TimePoint resendAt;
    };

    /// Returns the members of the roster that the VM list calls for, at most maxRosterMembers.
    /// Unless onlyAlive is set, they may include nodes that are leaving and, with incarnation 0,
    /// nodes that are not alive.
    std::vector<NodeIncarnation> candidates(bool onlyAlive) const;
    std::vector<NodeIncarnation> wantedMembers() const { return candidates(true); }
    bool isChangeWanted(const std::vector<NodeIncarnation> &wanted) const;
    bool isProposer() const;
    bool hasSuccessionRight() const;
    /// Returns the incarnations that a proposal must ask for consent, or nothing if no proposal is
    /// safe now.
    std::optional<std::set<NodeIncarnation>> proposalRecipients(
        const std::vector<NodeIncarnation> &wanted) const;
    /// Adds the alive nodes, listed or not. Returns whether the VM list names this node, a majority
    /// of the listed nodes is alive and all other listed nodes have terminated.
    bool addListedRecipients(std::set<NodeIncarnation> &recipients) const;
    void propose(TimePoint now, WallTime wall, KeyOutput &out);
    void sendProposal(TimePoint now, KeyOutput &out);
    void tryToDecide(TimePoint now, KeyOutput &out);
    void activate(KeyOutput &out);
    void abandonProposal(TimePoint now, KeyOutput &out);
    bool hasAllConsents() const;
    bool includesMemberOf(const Roster &roster,
                          const std::set<NodeIncarnation> &nodeIncarnations) const;
    bool consent(const Roster &roster, std::span<const RosterId> baseRosters, WallTime wall);
    std::vector<RosterMemberMessage> terminatedMembers() const;
    void sendGossip(TimePoint now, KeyOutput &out);
    std::chrono::milliseconds minStartDelay() const;

    RosterCoordinatorOptions m_options;
    LivenessView m_view;
    RosterChain m_chain;
    std::optional<Proposal> m_proposal;
    std::set<RosterId> m_activated; ///< The proposals of this incarnation that became active.
    std::uint64_t m_sequence = 0;
    TimePoint m_nextProposalAt;
    TimePoint m_nextGossipAt;
};

} // namespace berylridge
