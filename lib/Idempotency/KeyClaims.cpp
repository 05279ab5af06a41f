// The part of the key registry that exchanges messages with witnesses and key holders.
#include "berylridge/Idempotency/KeyRegistry.h"

#include <algorithm>
#include <utility>

namespace berylridge {

namespace {

constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

} // namespace

std::optional<KeyRegistry::Refusal> KeyRegistry::chooseWitnesses(const ParsedKey &parsedKey,
                                                                 Claim &claim) const
{
    if (parsedKey.kind == KeyKind::Issued) {
        claim.roster = issuerRosterId;
        claim.witnesses = {{parsedKey.issuer, parsedKey.issuerIncarnation}};
        claim.quorum = 1;
        if (m_rosterCoordinator.view().isTerminated(claim.witnesses.front(),
                                                    m_rosterCoordinator.view().list().revision))
            return Refusal {409, "issuer-gone", "the node that issued the key is gone", {}};
        return std::nullopt;
    }
    const RosterChain &chain = m_rosterCoordinator.chain();
    const Roster *roster
        = chain.rosterAt(parsedKey.kind == KeyKind::Timestamped ? parsedKey.createdAt : m_wall);
    if (!roster && !chain.lastActive())
        return Refusal {503, "no-witnesses", "the nodes have not yet agreed on witnesses",
                        defaultRetryAfter};
    if (!roster) {
        return Refusal {409, "key-too-old", "the key is older than the witnesses' memory", {}};
    }
    claim.roster = roster->id;
    claim.witnesses = roster->members;
    claim.quorum = roster->quorum();
    const auto reachable = std::count_if(
        claim.witnesses.begin(), claim.witnesses.end(),
        [&](const NodeIncarnation &nodeIncarnation) {
            return nodeIncarnation == self() || m_rosterCoordinator.view().isAlive(nodeIncarnation);
        });
    if (static_cast<std::size_t>(reachable) < claim.quorum)
        return Refusal {503, "witnesses-unreachable", "too few witnesses can be reached",
                        defaultRetryAfter};
    return std::nullopt;
}

void KeyRegistry::startClaim(const std::string &key, Held &held, KeyOutput &out)
{
    Claim claim;
    claim.deadline = held.claim ? held.claim->deadline : m_now + m_options.claimTimeout;
    claim.number = ++m_claimCount;
    const auto refusal = chooseWitnesses(parseKey(key), claim);
    held.claim = std::move(claim);
    if (refusal) {
        abandonClaim(key, *refusal, out);
        return;
    }
    sendClaims(key, held, out);
}

bool KeyRegistry::isCurrent(const std::string &key, const Claim &claim) const
{
    const ParsedKey parsedKey = parseKey(key);
    if (parsedKey.kind == KeyKind::Issued)
        return true;
    const Roster *roster = m_rosterCoordinator.chain().rosterAt(
        parsedKey.kind == KeyKind::Timestamped ? parsedKey.createdAt : m_wall);
    return roster && roster->id == claim.roster;
}

void KeyRegistry::sendClaims(const std::string &key, Held &held, KeyOutput &out)
{
    Claim &claim = *held.claim;
    claim.resendAt = m_now + m_options.resendPeriod;
    claim.no.clear();
    const std::uint64_t number = claim.number;
    bool isSelfWitness = false;
    for (const NodeIncarnation &witness : claim.witnesses) {
        if (witness == self())
            isSelfWitness = true;
        else if (!claim.yes.contains(witness))
            out.sends.push_back({witness.node, KeyClaim {key, claim.roster, number}});
    }
    if (!isSelfWitness)
        return;
    // The vote of this node comes last because it may complete the claim and destroy it.
    const VoteResult result
        = m_witness.vote(key, {self(), claim.roster, number}, m_rosterCoordinator.chain(), m_wall);
    countVote(key, self(), result, out);
}

void KeyRegistry::releaseClaim(const std::string &key, const Claim &claim, KeyOutput &out)
{
    m_witness.release(key, self(), claim.number);
    for (const NodeIncarnation &witness : claim.witnesses) {
        if (witness != self())
            out.sends.push_back({witness.node, KeyRelease {key, claim.number}});
    }
}

void KeyRegistry::countVote(const std::string &key, const NodeIncarnation &from,
                            const VoteResult &result, KeyOutput &out)
{
    Claim &claim = *m_heldKeys.at(key).claim;
    switch (result.vote) {
    case Vote::Yes:
        claim.yes.insert(from);
        break;
    case Vote::Held:
        if (result.holder != self()) {
            claim.holder = result.holder;
            out.sends.push_back({result.holder.node, KeyQuery {key, claim.number}});
        }
        break;
    case Vote::Abstain:
    case Vote::Expired:
    case Vote::Full:
        claim.no.insert(from);
        break;
    case Vote::OtherRoster:
    case Vote::Stale:
        break;
    }
    evaluateClaim(key, out);
}

void KeyRegistry::evaluateClaim(const std::string &key, KeyOutput &out)
{
    Held &held = m_heldKeys.at(key);
    Claim &claim = *held.claim;
    if (claim.yes.size() >= claim.quorum) {
        held.phase = KeyPhase::Admitted;
        m_claimingKeys.erase(key);
        out.decisions.emplace_back(KeyAdmitted {held.request, key});
        return;
    }
    if (const auto refusal = refusalForClaim(claim))
        abandonClaim(key, *refusal, out);
}

std::optional<KeyRegistry::Refusal> KeyRegistry::refusalForClaim(const Claim &claim) const
{
    if (claim.holder) {
        // Only the holder knew whether it ran the key, and that knowledge was lost when it
        // terminated.
        if (m_rosterCoordinator.view().isTerminated(*claim.holder,
                                                    m_rosterCoordinator.view().list().revision))
            return Refusal {409, "holder-gone", "the node that took the operation is gone", {}};
        return std::nullopt;
    }
    if (claim.witnesses.size() - claim.no.size() < claim.quorum) {
        return Refusal {503, "witnesses-abstain", "too few witnesses know of the key's time",
                        defaultRetryAfter};
    }
    return std::nullopt;
}

void KeyRegistry::abandonClaim(const std::string &key, const Refusal &refusal, KeyOutput &out)
{
    const auto it = m_heldKeys.find(key);
    const KeyRequestId request = it->second.request;
    releaseClaim(key, *it->second.claim, out);
    refuse(request, key, refusal, out);
    m_claimingKeys.erase(key);
    m_heldKeys.erase(it);
}

void KeyRegistry::resendClaims(KeyOutput &out)
{
    const std::vector<std::string> keys(m_claimingKeys.begin(), m_claimingKeys.end());
    for (const std::string &key : keys) {
        Held &held = m_heldKeys.at(key);
        if (m_now >= held.claim->deadline) {
            abandonClaim(key,
                         {503, "witnesses-silent", "too few witnesses answered", defaultRetryAfter},
                         out);
        } else if (!isCurrent(key, *held.claim)) {
            startClaim(key, held, out);
        } else if (m_now >= held.claim->resendAt) {
            sendClaims(key, held, out);
        }
    }
}

void KeyRegistry::handle(const NodeIncarnation &from, const KeyClaim &claim, KeyOutput &out)
{
    const VoteResult result = m_witness.vote(claim.key, {from, claim.roster, claim.claim},
                                             m_rosterCoordinator.chain(), m_wall);
    if (result.vote == Vote::Stale)
        return;
    if (result.vote == Vote::OtherRoster)
        m_rosterCoordinator.sendRosterUpdate(from.node, out);
    out.sends.push_back(
        {from.node,
         KeyVote {claim.key, claim.roster, claim.claim, static_cast<std::uint8_t>(result.vote),
                  result.holder.node.str(), result.holder.incarnation, from.incarnation}});
}

void KeyRegistry::handle(const NodeIncarnation &from, const KeyVote &vote, KeyOutput &out)
{
    const auto it = m_heldKeys.find(vote.key);
    if (it == m_heldKeys.end() || it->second.phase != KeyPhase::Claiming)
        return;
    const Claim &claim = *it->second.claim;
    const bool isWitness
        = std::find(claim.witnesses.begin(), claim.witnesses.end(), from) != claim.witnesses.end();
    // Ignores a vote for an earlier incarnation of this node. That incarnation may have dispatched
    // the key, and the witness recorded the key for that incarnation only.
    if (vote.requesterIncarnation != m_options.incarnation)
        return;
    // Ignores votes for another roster or an earlier claim, and votes of a witness that has
    // restarted.
    if (!isWitness || vote.claim != claim.number || vote.roster != claim.roster)
        return;
    countVote(vote.key, from,
              {static_cast<Vote>(vote.vote), {NodeId(vote.holder), vote.holderIncarnation}}, out);
}

void KeyRegistry::handle(const NodeIncarnation &from, const KeyRelease &release, KeyOutput &out)
{
    static_cast<void>(out);
    m_witness.release(release.key, from, release.claim);
}

void KeyRegistry::handle(const NodeIncarnation &from, const KeyQuery &query, KeyOutput &out)
{
    KeyState state;
    state.key = query.key;
    state.query = query.query;
    state.requesterIncarnation = from.incarnation;
    state.state = static_cast<std::uint8_t>(KeyPhase::Unknown);
    const auto it = m_heldKeys.find(query.key);
    if (it != m_heldKeys.end()) {
        const Held &held = it->second;
        state.state = static_cast<std::uint8_t>(held.phase);
        state.status = held.status;
        state.headers = held.headers;
        state.body = held.body.value_or("");
        // A response that is no longer stored is reported as an attempt without a response.
        if (held.phase == KeyPhase::Finished && !held.body)
            state.state = static_cast<std::uint8_t>(KeyPhase::Failed);
        state.bodyHash = held.bodyHash;
    } else {
        // The witness still has the record of a claim that this incarnation abandoned: the release
        // was lost or arrived before the claim. Without another release the key would be refused
        // for the rest of its lifetime.
        Claim claim;
        claim.number = m_claimCount;
        static_cast<void>(chooseWitnesses(parseKey(query.key), claim));
        releaseClaim(query.key, claim, out);
    }
    out.sends.push_back({from.node, std::move(state)});
}

void KeyRegistry::handle(const NodeIncarnation &from, const KeyState &state, KeyOutput &out)
{
    const auto it = m_heldKeys.find(state.key);
    if (it == m_heldKeys.end() || it->second.phase != KeyPhase::Claiming)
        return;
    const Held &held = it->second;
    if (state.query != held.claim->number || held.claim->holder != from
        || state.requesterIncarnation != m_options.incarnation)
        return;
    const auto phase = static_cast<KeyPhase>(state.state);
    if (phase == KeyPhase::Unknown) {
        it->second.claim->holder.reset();
        return; // The next resend will find the key unclaimed.
    }
    // If two claims each hold the votes of some witnesses, the node with the lower name continues;
    // otherwise both would abandon their claims.
    if (phase == KeyPhase::Claiming && self().node < from.node)
        return;
    if (state.bodyHash != held.bodyHash) {
        abandonClaim(state.key, {422, "key-reused", "the key names another request", {}}, out);
    } else if (phase == KeyPhase::Finished) {
        const KeyRequestId request = held.request;
        static_cast<void>(release(state.key, out));
        out.decisions.emplace_back(
            KeyReplayed {request, state.key, state.status, state.headers, state.body});
    } else if (phase == KeyPhase::Failed) {
        abandonClaim(state.key, {409, "may-have-run", "the operation may have run", {}}, out);
    } else {
        abandonClaim(state.key,
                     {409, "key-in-use", "the operation is in progress", defaultRetryAfter}, out);
    }
}

void KeyRegistry::handle(const NodeIncarnation &from, const RosterUpdate &update, KeyOutput &out)
{
    m_rosterCoordinator.onRosterUpdate(from, update, out);
}

void KeyRegistry::handle(const NodeIncarnation &from, const RosterProposal &proposal,
                         KeyOutput &out)
{
    m_rosterCoordinator.onProposal(from, proposal, m_now, m_wall, out);
}

void KeyRegistry::handle(const NodeIncarnation &from, const RosterProposalReply &reply,
                         KeyOutput &out)
{
    m_rosterCoordinator.onProposalReply(from, reply, m_now, out);
}

void KeyRegistry::handle(const NodeIncarnation &from, const RosterDecision &decision,
                         KeyOutput &out)
{
    static_cast<void>(out);
    m_rosterCoordinator.onDecision(from, decision);
}

} // namespace berylridge
