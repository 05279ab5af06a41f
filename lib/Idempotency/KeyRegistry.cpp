#include "berylridge/Idempotency/KeyRegistry.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

namespace berylridge {

namespace {

constexpr Duration defaultRetryAfter = std::chrono::seconds(1);
/// Expired keys are removed this many times per key lifetime.
constexpr int sweepsPerLifetime = 64;

std::chrono::milliseconds milliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

RosterCoordinatorOptions rosterOptions(const KeyOptions &options)
{
    RosterCoordinatorOptions roster;
    roster.self = {options.node, options.incarnation};
    roster.lifetime = options.lifetime;
    roster.futureTolerance = options.futureTolerance;
    roster.maxClockSkew = options.maxClockSkew;
    roster.consentTimeout = options.consentTimeout;
    roster.membershipStablePeriod = options.membershipStablePeriod;
    roster.livenessTimeout = options.livenessTimeout;
    roster.gossipPeriod = options.gossipPeriod;
    roster.resendPeriod = options.resendPeriod;
    roster.maxRosterMembers = options.maxRosterMembers;
    return roster;
}

} // namespace

KeyRegistry::KeyRegistry(KeyOptions options)
    : m_options(std::move(options))
    , m_rosterCoordinator(rosterOptions(m_options))
    , m_witness(self(), {m_options.lifetime, m_options.futureTolerance, m_options.maxClockSkew},
                m_options.maxKeys)
{
}

void KeyRegistry::advanceClocks(TimePoint now, WallTime wall)
{
    m_now = std::max(m_now, now);
    m_wall = std::max(m_wall, wall);
}

std::optional<KeyRegistry::Refusal> KeyRegistry::refusalForAge(const ParsedKey &parsedKey) const
{
    if (parsedKey.kind == KeyKind::Opaque)
        return std::nullopt;
    if (parsedKey.createdAt + milliseconds(m_options.lifetime) < m_wall)
        return Refusal {409, "key-expired", "the key is older than keys are remembered", {}};
    const auto ahead = parsedKey.createdAt - m_wall;
    if (ahead <= milliseconds(m_options.futureTolerance))
        return std::nullopt;
    Refusal refusal {409, "key-from-future", "the key was made in the future", {}};
    refusal.retryAfter = ahead - milliseconds(m_options.futureTolerance);
    // The clock of another node is at most twice maxClockSkew ahead of this one, so no node can
    // have admitted the key.
    const auto maxAhead
        = milliseconds(m_options.futureTolerance) + 2 * milliseconds(m_options.maxClockSkew);
    if (ahead > maxAhead)
        refusal.verdict = Verdict::NotRun;
    return refusal;
}

void KeyRegistry::refuse(KeyRequestId request, const std::string &key, const Refusal &refusal,
                         KeyOutput &out)
{
    out.decisions.emplace_back(KeyRefused {request, key, refusal.status, refusal.verdict,
                                           refusal.type, refusal.title, refusal.retryAfter});
}

void KeyRegistry::begin(KeyRequestId request, const std::string &key, std::uint64_t bodyHash,
                        TimePoint now, WallTime wall, KeyOutput &out)
{
    advanceClocks(now, wall);
    const ParsedKey parsedKey = parseKey(key);
    if (const auto refusal = refusalForAge(parsedKey)) {
        refuse(request, key, *refusal, out);
        return;
    }
    if (const auto it = m_heldKeys.find(key); it != m_heldKeys.end()) {
        handleRepeat(request, key, bodyHash, it->second, out);
        return;
    }
    if (m_heldKeys.size() >= m_options.maxKeys) {
        // Evicting an old key instead would let a repeated request run its operation again.
        refuse(request, key, {503, "too-many-keys", "no memory for another key", defaultRetryAfter},
               out);
        return;
    }
    Held &held = m_heldKeys[key];
    held.request = request;
    held.bodyHash = bodyHash;
    held.receivedAt = m_wall;
    held.retainUntil = retentionEnd(parsedKey);
    m_claimingKeys.insert(key);
    startClaim(key, held, out);
}

void KeyRegistry::handleRepeat(KeyRequestId request, const std::string &key, std::uint64_t bodyHash,
                               const Held &held, KeyOutput &out) const
{
    if (held.bodyHash != bodyHash) {
        refuse(request, key, {422, "key-reused", "the key names another request", {}}, out);
        return;
    }
    if (held.phase == KeyPhase::Finished && held.body) {
        out.decisions.emplace_back(
            KeyReplayed {request, key, held.status, held.headers, *held.body});
        return;
    }
    if (held.phase == KeyPhase::Finished) {
        refuse(request, key, {409, "answer-not-kept", "the operation ran; its answer is gone", {}},
               out);
        return;
    }
    if (held.phase == KeyPhase::Failed) {
        refuse(request, key, {409, "may-have-run", "the operation may have run", {}}, out);
        return;
    }
    refuse(request, key, {409, "key-in-use", "the operation is in progress", defaultRetryAfter},
           out);
}

WallTime KeyRegistry::retentionEnd(const ParsedKey &parsedKey) const
{
    const auto lifetime = milliseconds(m_options.lifetime);
    const auto margin
        = 2 * milliseconds(m_options.maxClockSkew) + milliseconds(m_options.futureTolerance);
    // When another node queries a key that this node does not hold, this node replies that it has
    // not run the key. It must therefore remember a key until the key is expired by every other
    // clock in the fleet.
    if (parsedKey.kind == KeyKind::Opaque)
        return m_wall + 2 * lifetime + margin;
    return parsedKey.createdAt + lifetime + margin;
}

bool KeyRegistry::mayDispatch(const std::string &key, TimePoint now, WallTime wall) const
{
    static_cast<void>(now);
    const auto it = m_heldKeys.find(key);
    if (it == m_heldKeys.end() || it->second.phase != KeyPhase::Admitted)
        return false;
    // After a pause of a whole key lifetime, the process may hold an admission that its witnesses
    // have already dropped.
    const ParsedKey parsedKey = parseKey(key);
    const WallTime from
        = parsedKey.kind == KeyKind::Opaque ? it->second.receivedAt : parsedKey.createdAt;
    return std::max(wall, m_wall) <= from + milliseconds(m_options.lifetime);
}

KeyPhase KeyRegistry::phase(const std::string &key) const
{
    const auto it = m_heldKeys.find(key);
    return it == m_heldKeys.end() ? KeyPhase::Unknown : it->second.phase;
}

void KeyRegistry::dispatched(const std::string &key)
{
    const auto it = m_heldKeys.find(key);
    assert(it != m_heldKeys.end() && "dispatching a key that was not admitted");
    it->second.phase = KeyPhase::Running;
}

void KeyRegistry::revertDispatch(const std::string &key)
{
    const auto it = m_heldKeys.find(key);
    if (it != m_heldKeys.end() && it->second.phase == KeyPhase::Running)
        it->second.phase = KeyPhase::Admitted;
}

Verdict KeyRegistry::release(const std::string &key, KeyOutput &out)
{
    const auto it = m_heldKeys.find(key);
    if (it == m_heldKeys.end() || it->second.phase > KeyPhase::Admitted)
        return Verdict::MayHaveRun;
    // Before a quorum has voted for this node, another router may hold the key and have run it.
    const bool isHolder = it->second.phase == KeyPhase::Admitted;
    if (it->second.claim)
        releaseClaim(key, *it->second.claim, out);
    m_claimingKeys.erase(key);
    m_heldKeys.erase(it);
    return isHolder ? Verdict::NotRun : Verdict::MayHaveRun;
}

void KeyRegistry::finished(const std::string &key, unsigned status, std::vector<KeyHeader> headers,
                           std::optional<std::string> body)
{
    const auto it = m_heldKeys.find(key);
    if (it == m_heldKeys.end())
        return;
    Held &held = it->second;
    held.phase = KeyPhase::Finished;
    held.status = status;
    held.claim.reset();
    held.headers = std::move(headers);
    storeResponse(key, held, std::move(body));
}

void KeyRegistry::storeResponse(const std::string &key, Held &held, std::optional<std::string> body)
{
    if (!body || body->size() > m_options.maxStoredResponseBodyBytes)
        return;
    m_storedResponseBytes += body->size();
    held.body = std::move(body);
    m_storedResponseKeys.push_back(key);
    while (m_storedResponseBytes > m_options.maxStoredResponseBytes) {
        // Drops only the response; the fact that the key was run is retained.
        const auto oldest = m_heldKeys.find(m_storedResponseKeys.front());
        m_storedResponseKeys.pop_front();
        if (oldest == m_heldKeys.end() || !oldest->second.body)
            continue;
        m_storedResponseBytes -= oldest->second.body->size();
        oldest->second.body.reset();
        oldest->second.headers.clear();
    }
}

void KeyRegistry::failed(const std::string &key)
{
    const auto it = m_heldKeys.find(key);
    if (it == m_heldKeys.end() || it->second.phase == KeyPhase::Finished)
        return;
    it->second.phase = KeyPhase::Failed;
    it->second.claim.reset();
}

std::string KeyRegistry::issueKey(TimePoint now, WallTime wall)
{
    advanceClocks(now, wall);
    return m_witness.issueKey(m_wall);
}

void KeyRegistry::removeExpiredKeys()
{
    if (m_wall < m_nextSweepAt)
        return;
    m_nextSweepAt = m_wall + milliseconds(m_options.lifetime) / sweepsPerLifetime;
    m_witness.prune(m_wall);
    std::erase_if(m_heldKeys, [&](const auto &item) {
        const Held &held = item.second;
        // A running key is retained until its attempt ends.
        if (held.retainUntil >= m_wall || held.phase < KeyPhase::Finished)
            return false;
        m_storedResponseBytes -= held.body ? held.body->size() : 0;
        return true;
    });
    std::erase_if(m_storedResponseKeys,
                  [&](const std::string &key) { return !m_heldKeys.contains(key); });
}

void KeyRegistry::onMessage(const NodeId &from, Incarnation incarnation, const KeyMessage &message,
                            TimePoint now, WallTime wall, KeyOutput &out)
{
    advanceClocks(now, wall);
    const NodeIncarnation nodeIncarnation {from, incarnation};
    m_rosterCoordinator.onMessageFrom(nodeIncarnation, m_now, out);
    std::visit([&](const auto &body) { handle(nodeIncarnation, body, out); }, message);
}

void KeyRegistry::onMembers(std::span<const KeyMember> members, TimePoint now, WallTime wall,
                            KeyOutput &out)
{
    advanceClocks(now, wall);
    m_rosterCoordinator.onMembers(members, m_now, out);
}

void KeyRegistry::onVmList(const VmList &list, TimePoint now, WallTime wall, KeyOutput &out)
{
    static_cast<void>(out);
    advanceClocks(now, wall);
    m_rosterCoordinator.onVmList(list, m_now);
}

void KeyRegistry::tick(TimePoint now, WallTime wall, KeyOutput &out)
{
    advanceClocks(now, wall);
    m_rosterCoordinator.tick(m_now, m_wall, out);
    resendClaims(out);
    removeExpiredKeys();
}

TimePoint KeyRegistry::nextTimer() const
{
    TimePoint next = m_rosterCoordinator.nextTimer();
    for (const std::string &key : m_claimingKeys) {
        const Claim &claim = *m_heldKeys.at(key).claim;
        next = std::min({next, claim.resendAt, claim.deadline});
    }
    return next;
}

bool KeyRegistry::acceptsNewKeys(WallTime wall) const
{
    const Roster *roster = m_rosterCoordinator.chain().rosterAt(
        std::max(wall, m_wall) - milliseconds(m_options.maxClockSkew));
    return roster && m_rosterCoordinator.chain().lastActive();
}

std::string KeyRegistry::describe() const
{
    std::map<std::string, std::string> sorted;
    for (const auto &[key, held] : m_heldKeys) {
        std::string &text = sorted[key];
        text = std::to_string(static_cast<int>(held.phase)) + '/' + std::to_string(held.request);
        if (!held.claim)
            continue;
        text += '#' + std::to_string(held.claim->number) + '@' + std::to_string(held.claim->roster);
        text += '!' + std::to_string(held.claim->deadline.time_since_epoch().count());
        for (const NodeIncarnation &nodeIncarnation : held.claim->yes)
            text += " +" + nodeIncarnation.node.str() + std::to_string(nodeIncarnation.incarnation);
        for (const NodeIncarnation &nodeIncarnation : held.claim->no)
            text += " -" + nodeIncarnation.node.str() + std::to_string(nodeIncarnation.incarnation);
        if (held.claim->holder)
            text += " ?" + held.claim->holder->node.str();
    }
    std::string text = m_rosterCoordinator.describe() + '|' + m_witness.describe() + '|';
    for (const auto &[key, held] : sorted) {
        text += key;
        text += ':' + held;
    }
    return text + std::to_string(m_claimCount);
}

} // namespace berylridge
