#include "berylridge/Idempotency/Witness.h"

#include <utility>

namespace berylridge {

namespace {

std::chrono::milliseconds milliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

} // namespace

Witness::Witness(NodeIncarnation self, KeyTimeLimits limits, std::size_t maxRecords)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_maxRecords(maxRecords)
{
}

VoteResult Witness::vote(const std::string &key, const ReceivedClaim &claim,
                         const RosterChain &chain, WallTime wall)
{
    const ParsedKey parsedKey = parseKey(key);
    const Vote eligible = eligibilityVote(parsedKey, claim.roster, chain, wall);
    if (eligible != Vote::Yes)
        return {eligible, {}};
    const auto it = m_records.find(key);
    if (it == m_records.end()) {
        if (m_records.size() >= m_maxRecords)
            return {Vote::Full, {}};
        m_records[key] = {claim.claimant, claim.claim, expiryOf(parsedKey, wall)};
        return {Vote::Yes, {}};
    }
    Record &record = it->second;
    if (record.holder != claim.claimant)
        return {Vote::Held, record.holder};
    if (claim.claim < record.claim)
        return {Vote::Stale, {}};
    record.claim = claim.claim;
    record.expiresAt = expiryOf(parsedKey, wall);
    return {Vote::Yes, {}};
}

void Witness::release(const std::string &key, const NodeIncarnation &claimant, std::uint64_t claim)
{
    const auto it = m_records.find(key);
    if (it == m_records.end() || it->second.holder != claimant)
        return;
    // A release that arrives after the claimant's next claim must not drop that claim: another
    // router would be admitted at the same time.
    if (it->second.claim <= claim)
        m_records.erase(it);
}

std::string Witness::issueKey(WallTime wall)
{
    return formatIssuedKey(
        {KeyKind::Issued, wall, m_self.node, m_self.incarnation, ++m_issuedCount});
}

void Witness::prune(WallTime wall)
{
    std::erase_if(m_records, [&](const auto &item) { return item.second.expiresAt < wall; });
}

Vote Witness::eligibilityVote(const ParsedKey &parsedKey, RosterId claimedRoster,
                              const RosterChain &chain, WallTime wall) const
{
    if (parsedKey.kind == KeyKind::Opaque)
        return opaqueEligibility(claimedRoster, chain, wall);
    if (parsedKey.createdAt + milliseconds(m_limits.lifetime) < wall)
        return Vote::Expired;
    if (parsedKey.kind == KeyKind::Issued)
        return issuedEligibility(parsedKey, claimedRoster);
    // A key created in the future could belong to a roster that is agreed on later and whose
    // members do not know of this vote; they would admit the key again.
    if (parsedKey.createdAt > wall + milliseconds(m_limits.futureTolerance))
        return Vote::Expired;
    return memberEligibility(chain.rosterAt(parsedKey.createdAt), claimedRoster);
}

Vote Witness::issuedEligibility(const ParsedKey &parsedKey, RosterId claimedRoster) const
{
    const bool isOwn = NodeIncarnation {parsedKey.issuer, parsedKey.issuerIncarnation} == m_self;
    // A key that this incarnation did not issue may have been issued by an earlier one, which may
    // have admitted it. A node that restarts loses its record of admitted keys.
    if (claimedRoster != issuerRosterId || !isOwn || parsedKey.sequence == 0
        || parsedKey.sequence > m_issuedCount)
        return Vote::Abstain;
    return Vote::Yes;
}

Vote Witness::opaqueEligibility(RosterId claimedRoster, const RosterChain &chain,
                                WallTime wall) const
{
    const Roster *roster = chain.rosterAt(wall);
    const Vote eligible = memberEligibility(roster, claimedRoster);
    if (eligible != Vote::Yes)
        return eligible;
    // An opaque key does not show whether an earlier roster admitted it. After a whole key
    // lifetime, its caller no longer sends it.
    const auto minRosterAge
        = milliseconds(m_limits.lifetime) + 2 * milliseconds(m_limits.maxClockSkew);
    return roster->startsAt + minRosterAge < wall ? Vote::Yes : Vote::Abstain;
}

Vote Witness::memberEligibility(const Roster *roster, RosterId claimedRoster) const
{
    if (!roster)
        return Vote::Abstain;
    if (roster->id != claimedRoster)
        return Vote::OtherRoster;
    // A proposed roster must not vote yet because members of the previous roster may still vote.
    if (!roster->isActive || !roster->contains(m_self))
        return Vote::Abstain;
    return Vote::Yes;
}

WallTime Witness::expiryOf(const ParsedKey &parsedKey, WallTime wall) const
{
    const auto lifetime = milliseconds(m_limits.lifetime);
    // The lifetime of an opaque key begins at its first use, which may be one lifetime before the
    // last use: the holder dispatches within one lifetime of its claim.
    if (parsedKey.kind == KeyKind::Opaque)
        return wall + 2 * lifetime;
    return parsedKey.createdAt + lifetime;
}

std::string Witness::describe() const
{
    std::map<std::string, const Record *> sorted;
    for (const auto &[key, record] : m_records)
        sorted[key] = &record;
    std::string text;
    for (const auto &[key, record] : sorted) {
        text += key;
        text += '=' + record->holder.node.str() + std::to_string(record->holder.incarnation);
        text += '#' + std::to_string(record->claim);
    }
    return text;
}

} // namespace berylridge
