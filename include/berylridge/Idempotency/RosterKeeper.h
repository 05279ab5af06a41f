// Agrees with other nodes on the next roster. One proposer decides alone on its proposal, once
// every run that could still vote in the rosters before has consented or is proven gone.
#pragma once

#include "berylridge/Idempotency/KeyOutput.h"
#include "berylridge/Idempotency/NodeView.h"
#include "berylridge/Idempotency/Roster.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace berylridge {

struct RosterOptions
{
    NodeRun self;
    Duration lifetime {0};
    Duration futureTolerance {0};
    Duration clockSkew {0};
    Duration decisionWindow {0}; ///< For all consents to a proposal.
    Duration settleTime {0};     ///< Members unchanged for so long before a proposal.
    Duration silenceLimit {0};   ///< Without a message, until a run no longer counts as heard.
    Duration gossipPeriod = std::chrono::seconds(1);
    Duration resendPeriod {0};
    std::size_t rosterLimit = 9;
};

class RosterKeeper
{
public:
    explicit RosterKeeper(RosterOptions options);

    const RosterChain &chain() const { return m_chain; }
    const NodeView &view() const { return m_view; }

    /// To be called with each message, before it is handed to the others.
    void onHeard(const NodeRun &from, TimePoint now, KeyOutput &out);
    void onMembers(std::span<const KeyMember> members, TimePoint now, KeyOutput &out);
    void onVmList(const VmList &list, TimePoint now);
    void onProposal(const NodeRun &from, const RosterProposal &proposal, TimePoint now,
                    WallTime wall, KeyOutput &out);
    void onConsent(const NodeRun &from, const RosterConsent &consent, TimePoint now,
                   KeyOutput &out);
    void onDecision(const NodeRun &from, const RosterDecision &decision);
    void onNews(const NodeRun &from, const RosterNews &news, KeyOutput &out);
    void tick(TimePoint now, WallTime wall, KeyOutput &out);
    TimePoint nextTimer() const;

    /// Tells a node the rosters that are active here.
    void sendNews(const NodeId &to, KeyOutput &out) const;

    std::string describe() const;

private:
    struct Proposal
    {
        Roster roster;
        std::vector<RosterId> basis;
        std::set<NodeRun> asked;
        std::set<NodeRun> consented;
        TimePoint deadline;
        TimePoint resendAt;
    };

    std::vector<NodeRun> candidates(bool areHeard) const;
    std::vector<NodeRun> wantedMembers() const { return candidates(true); }
    bool isChangeWanted(const std::vector<NodeRun> &wanted) const;
    bool isProposer() const;
    bool hasSuccessionRight() const;
    std::optional<std::set<NodeRun>> runsToAsk(const std::vector<NodeRun> &wanted) const;
    bool addListedRuns(std::set<NodeRun> &runs) const;
    void propose(TimePoint now, WallTime wall, KeyOutput &out);
    void sendProposal(TimePoint now, KeyOutput &out);
    void decide(TimePoint now, KeyOutput &out);
    void activate(KeyOutput &out);
    void giveUp(TimePoint now, KeyOutput &out);
    bool isComplete() const;
    bool hasSurvivor(const Roster &roster, const std::set<NodeRun> &runs) const;
    bool consent(const Roster &roster, std::span<const RosterId> basis, WallTime wall);
    std::vector<RosterMemberMessage> endedMembers() const;
    void gossip(TimePoint now, KeyOutput &out);
    std::chrono::milliseconds leadTime() const;

    RosterOptions m_options;
    NodeView m_view;
    RosterChain m_chain;
    std::optional<Proposal> m_proposal;
    std::set<RosterId> m_activated; ///< Of this run's own proposals.
    std::uint64_t m_sequence = 0;
    TimePoint m_proposeAfter;
    TimePoint m_gossipAt;
};

} // namespace berylridge
