#include "berylridge/Idempotency/KeyRegistry.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

namespace berylridge {

namespace {

constexpr Duration repeatWait = std::chrono::seconds(1);
/// Old keys are looked for this many times in a lifetime.
constexpr int sweepsPerLifetime = 64;

std::chrono::milliseconds milliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

RosterOptions rosterOptions(const KeyOptions &options)
{
    RosterOptions roster;
    roster.self = {options.node, options.incarnation};
    roster.lifetime = options.lifetime;
    roster.futureTolerance = options.futureTolerance;
    roster.clockSkew = options.clockSkew;
    roster.decisionWindow = options.decisionWindow;
    roster.settleTime = options.settleTime;
    roster.silenceLimit = options.silenceLimit;
    roster.gossipPeriod = options.gossipPeriod;
    roster.resendPeriod = options.resendPeriod;
    roster.rosterLimit = options.rosterLimit;
    return roster;
}

} // namespace

KeyRegistry::KeyRegistry(KeyOptions options)
    : m_options(std::move(options))
    , m_keeper(rosterOptions(m_options))
    , m_witness(self(), {m_options.lifetime, m_options.futureTolerance, m_options.clockSkew},
                m_options.keyLimit)
{
}

void KeyRegistry::advance(TimePoint now, WallTime wall)
{
    m_now = std::max(m_now, now);
    m_wall = std::max(m_wall, wall);
}

std::optional<KeyRegistry::Refusal> KeyRegistry::refusalByAge(const KeyText &text) const
{
    if (text.kind == KeyKind::Opaque)
        return std::nullopt;
    if (text.madeAt + milliseconds(m_options.lifetime) < m_wall)
        return Refusal {409, "key-expired", "the key is older than keys are remembered", {}};
    const auto ahead = text.madeAt - m_wall;
    if (ahead <= milliseconds(m_options.futureTolerance))
        return std::nullopt;
    Refusal refusal {409, "key-from-future", "the key was made in the future", {}};
    refusal.retryAfter = ahead - milliseconds(m_options.futureTolerance);
    // No clock of the fleet is two skews ahead of this one, so no node can have taken the key.
    const auto reach
        = milliseconds(m_options.futureTolerance) + 2 * milliseconds(m_options.clockSkew);
    if (ahead > reach)
        refusal.verdict = Verdict::NotRun;
    return refusal;
}

void KeyRegistry::refuse(KeyRequest request, const std::string &key, const Refusal &refusal,
                         KeyOutput &out)
{
    out.decisions.emplace_back(KeyRefused {request, key, refusal.status, refusal.verdict,
                                           refusal.type, refusal.title, refusal.retryAfter});
}

void KeyRegistry::begin(KeyRequest request, const std::string &key, std::uint64_t bodyHash,
                        TimePoint now, WallTime wall, KeyOutput &out)
{
    advance(now, wall);
    const KeyText text = parseKey(key);
    if (const auto refusal = refusalByAge(text)) {
        refuse(request, key, *refusal, out);
        return;
    }
    if (const auto it = m_held.find(key); it != m_held.end()) {
        repeat(request, key, bodyHash, it->second, out);
        return;
    }
    if (m_held.size() >= m_options.keyLimit) {
        // Forgetting an old key instead would let a repeat of that one run again.
        refuse(request, key, {503, "too-many-keys", "no memory for another key", repeatWait}, out);
        return;
    }
    Held &held = m_held[key];
    held.request = request;
    held.bodyHash = bodyHash;
    held.begunAt = m_wall;
    held.forgetAt = forgetTime(text);
    m_claiming.insert(key);
    startClaim(key, held, out);
}

void KeyRegistry::repeat(KeyRequest request, const std::string &key, std::uint64_t bodyHash,
                         const Held &held, KeyOutput &out) const
{
    if (held.bodyHash != bodyHash) {
        refuse(request, key, {422, "key-reused", "the key names another request", {}}, out);
        return;
    }
    if (held.phase == KeyPhase::Finished && held.body) {
        out.decisions.emplace_back(
            KeyAnswered {request, key, held.status, held.headers, *held.body});
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
    refuse(request, key, {409, "key-in-use", "the operation is in progress", repeatWait}, out);
}

WallTime KeyRegistry::forgetTime(const KeyText &text) const
{
    const auto lifetime = milliseconds(m_options.lifetime);
    const auto margin
        = 2 * milliseconds(m_options.clockSkew) + milliseconds(m_options.futureTolerance);
    // This node says "not run" of a key that it doesn't hold when another asks. So it must remember
    // a key until every other clock of the fleet counts the key as expired.
    if (text.kind == KeyKind::Opaque)
        return m_wall + 2 * lifetime + margin;
    return text.madeAt + lifetime + margin;
}

bool KeyRegistry::mayDispatch(const std::string &key, TimePoint now, WallTime wall) const
{
    static_cast<void>(now);
    const auto it = m_held.find(key);
    if (it == m_held.end() || it->second.phase != KeyPhase::Admitted)
        return false;
    // A process that was paused for a lifetime wakes with an admission that its witnesses have
    // forgotten.
    const KeyText text = parseKey(key);
    const WallTime from = text.kind == KeyKind::Opaque ? it->second.begunAt : text.madeAt;
    return std::max(wall, m_wall) <= from + milliseconds(m_options.lifetime);
}

KeyPhase KeyRegistry::phase(const std::string &key) const
{
    const auto it = m_held.find(key);
    return it == m_held.end() ? KeyPhase::Unknown : it->second.phase;
}

void KeyRegistry::dispatched(const std::string &key)
{
    const auto it = m_held.find(key);
    assert(it != m_held.end() && "dispatching a key that was not admitted");
    it->second.phase = KeyPhase::Running;
}

void KeyRegistry::notSent(const std::string &key)
{
    const auto it = m_held.find(key);
    if (it != m_held.end() && it->second.phase == KeyPhase::Running)
        it->second.phase = KeyPhase::Admitted;
}

Verdict KeyRegistry::release(const std::string &key, KeyOutput &out)
{
    const auto it = m_held.find(key);
    if (it == m_held.end() || it->second.phase > KeyPhase::Admitted)
        return Verdict::MayHaveRun;
    // Before a quorum has answered, another router may hold the key and have run it.
    const bool isHolder = it->second.phase == KeyPhase::Admitted;
    if (it->second.claim)
        releaseClaim(key, *it->second.claim, out);
    m_claiming.erase(key);
    m_held.erase(it);
    return isHolder ? Verdict::NotRun : Verdict::MayHaveRun;
}

void KeyRegistry::finished(const std::string &key, unsigned status, std::vector<KeyHeader> headers,
                           std::optional<std::string> body)
{
    const auto it = m_held.find(key);
    if (it == m_held.end())
        return;
    Held &held = it->second;
    held.phase = KeyPhase::Finished;
    held.status = status;
    held.claim.reset();
    held.headers = std::move(headers);
    keep(key, held, std::move(body));
}

void KeyRegistry::keep(const std::string &key, Held &held, std::optional<std::string> body)
{
    if (!body || body->size() > m_options.keptAnswerLimit)
        return;
    m_keptBytes += body->size();
    held.body = std::move(body);
    m_kept.push_back(key);
    while (m_keptBytes > m_options.keptBytes) {
        // Only the answer goes; that the key was run stays known.
        const auto oldest = m_held.find(m_kept.front());
        m_kept.pop_front();
        if (oldest == m_held.end() || !oldest->second.body)
            continue;
        m_keptBytes -= oldest->second.body->size();
        oldest->second.body.reset();
        oldest->second.headers.clear();
    }
}

void KeyRegistry::failed(const std::string &key)
{
    const auto it = m_held.find(key);
    if (it == m_held.end() || it->second.phase == KeyPhase::Finished)
        return;
    it->second.phase = KeyPhase::Failed;
    it->second.claim.reset();
}

std::string KeyRegistry::issueKey(TimePoint now, WallTime wall)
{
    advance(now, wall);
    return m_witness.issueKey(m_wall);
}

void KeyRegistry::forgetOld()
{
    if (m_wall < m_forgetAt)
        return;
    m_forgetAt = m_wall + milliseconds(m_options.lifetime) / sweepsPerLifetime;
    m_witness.prune(m_wall);
    std::erase_if(m_held, [&](const auto &item) {
        const Held &held = item.second;
        // A running one stays until its attempt ends.
        if (held.forgetAt >= m_wall || held.phase < KeyPhase::Finished)
            return false;
        m_keptBytes -= held.body ? held.body->size() : 0;
        return true;
    });
    std::erase_if(m_kept, [&](const std::string &key) { return !m_held.contains(key); });
}

void KeyRegistry::onMessage(const NodeId &from, Incarnation incarnation, const KeyMessage &message,
                            TimePoint now, WallTime wall, KeyOutput &out)
{
    advance(now, wall);
    const NodeRun run {from, incarnation};
    m_keeper.onHeard(run, m_now, out);
    std::visit([&](const auto &body) { take(run, body, out); }, message);
}

void KeyRegistry::onMembers(std::span<const KeyMember> members, TimePoint now, WallTime wall,
                            KeyOutput &out)
{
    advance(now, wall);
    m_keeper.onMembers(members, m_now, out);
}

void KeyRegistry::onVmList(const VmList &list, TimePoint now, WallTime wall, KeyOutput &out)
{
    static_cast<void>(out);
    advance(now, wall);
    m_keeper.onVmList(list, m_now);
}

void KeyRegistry::tick(TimePoint now, WallTime wall, KeyOutput &out)
{
    advance(now, wall);
    m_keeper.tick(m_now, m_wall, out);
    resendClaims(out);
    forgetOld();
}

TimePoint KeyRegistry::nextTimer() const
{
    TimePoint next = m_keeper.nextTimer();
    for (const std::string &key : m_claiming) {
        const Claim &claim = *m_held.at(key).claim;
        next = std::min({next, claim.resendAt, claim.deadline});
    }
    return next;
}

bool KeyRegistry::takesKeysMadeNow(WallTime wall) const
{
    const Roster *roster
        = m_keeper.chain().rosterAt(std::max(wall, m_wall) - milliseconds(m_options.clockSkew));
    return roster && m_keeper.chain().lastActive();
}

std::string KeyRegistry::describe() const
{
    std::map<std::string, std::string> sorted;
    for (const auto &[key, held] : m_held) {
        std::string &text = sorted[key];
        text = std::to_string(static_cast<int>(held.phase)) + '/' + std::to_string(held.request);
        if (!held.claim)
            continue;
        text += '#' + std::to_string(held.claim->number) + '@' + std::to_string(held.claim->roster);
        text += '!' + std::to_string(held.claim->deadline.time_since_epoch().count());
        for (const NodeRun &run : held.claim->yes)
            text += " +" + run.node.str() + std::to_string(run.incarnation);
        for (const NodeRun &run : held.claim->no)
            text += " -" + run.node.str() + std::to_string(run.incarnation);
        if (held.claim->holder)
            text += " ?" + held.claim->holder->node.str();
    }
    std::string text = m_keeper.describe() + '|' + m_witness.describe() + '|';
    for (const auto &[key, held] : sorted) {
        text += key;
        text += ':' + held;
    }
    return text + std::to_string(m_claims);
}

} // namespace berylridge
