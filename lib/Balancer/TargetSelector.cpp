#include "TargetSelector.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cstring>

namespace berylridge {

namespace {

/// Assumed speed of a target before the first sample. Current engines read 100 to 160 tokens per
/// ms, and fewer while they generate.
constexpr double initialTokensPerMs = 90;
constexpr double minTokensPerMs = 20;
constexpr double maxTokensPerMs = 400;
/// Weight of one sample in the moving average; a target's speed changes over seconds.
constexpr double sampleWeight = 0.08;
/// Shorter prompts give no sample, since their time depends more on the network than on the target.
constexpr std::uint64_t minSampleTokens = 3000;
/// Part of the time to the first event that is not spent on reading the prompt.
constexpr double fixedOverheadMs = 20;
constexpr double initialServiceMs = 30;
constexpr double serviceSampleWeight = 0.1;
/// Minimum number of tokens that this node's requests added to a target's cache before they are
/// reported to the other nodes: about one percent of an engine's memory.
constexpr std::uint32_t minReportedWrittenTokens = 8192;
/// Maximum number of nodes that may send to the same cold target. Besides its part of the rate,
/// each node may send one request at any moment: 74 nodes exceeded a rate of 16 requests a second,
/// eight nodes stay below it.
constexpr std::size_t maxColdSenders = 8;
/// Time for which the choice of these nodes is cached, because it hashes the ids of all nodes.
constexpr Duration coldSenderCacheTime = std::chrono::milliseconds(500);
/// Time after a broken connection within which the platform reports a restart of the target: two of
/// its report periods and the transmission of the update.
constexpr Duration restartReportDelay = std::chrono::milliseconds(2500);

std::uint64_t bootHash(const TargetRecord &record)
{
    return hash64(record.id, static_cast<std::uint64_t>(record.startedAtMs));
}

std::uint64_t affinityOf(PrefixKey part, TargetKey target)
{
    char bytes[sizeof(part)];
    std::memcpy(bytes, &part, sizeof(part));
    return hash64({bytes, sizeof(bytes)}, target);
}

} // namespace

std::size_t TargetSelector::coldSenderCount() const
{
    return std::min(maxColdSenders, m_context.peers.limitShareCount(m_context.now));
}

bool TargetSelector::isColdSender(Target &target, TargetKey key) const
{
    if (m_context.now < target.coldSenderValidUntil)
        return target.isColdSender;
    const std::uint64_t own = hash64(m_context.options.node.str(), key);
    std::size_t before = 0;
    m_context.peers.forEach([&](const NodeId &node, const PeerTable::Peer &peer) {
        const bool hasLimitShare = m_context.peers.hasLimitShare(peer, m_context.now);
        before += hasLimitShare && hash64(node.str(), key) < own ? 1 : 0;
    });
    target.isColdSender = before < maxColdSenders;
    target.coldSenderValidUntil = m_context.now + coldSenderCacheTime;
    return target.isColdSender;
}

bool TargetSelector::isCold(const TargetDirectory::Entry &entry, const Target &target,
                            const ServiceSpec &service) const
{
    if (service.coldRequestsPerSecond <= 0)
        return false;
    const TimePoint now = m_context.now;
    if (m_context.directory.isCold(entry, now) || target.coldUntil > now)
        return true;
    // A target whose connections broke may have restarted and be cold before any report says so;
    // its usual load would crash it again. The platform's next report on the target resolves the
    // doubt.
    const TimePoint broken = target.health.lastBrokenAt();
    const bool mayHaveRestarted = broken > TimePoint {} && entry.updatedAt < broken;
    return mayHaveRestarted && now - broken < restartReportDelay + fromMilliseconds(service.coldMs);
}

PlacementCandidate TargetSelector::candidate(const TargetDirectory::Entry &entry,
                                             const Target &target, TargetKey key,
                                             const ServiceSpec &service,
                                             const PrefixChain *chain) const
{
    const TimePoint now = m_context.now;
    PlacementCandidate candidate;
    candidate.load = m_loads.total(key, now);
    const std::uint32_t slots = entry.record.slots > 0 ? entry.record.slots : service.engineSlots;
    candidate.slots = std::max(1U, slots);
    candidate.tokensPerMs = target.tokensPerMs > 0 ? target.tokensPerMs : initialTokensPerMs;
    candidate.failureRatio = target.health.failureRatio(now);
    candidate.isOtherZone = entry.record.zone != m_context.options.zone.str();
    candidate.isZoneSilent = m_silentZones.contains(entry.record.zone);
    if (chain && !chain->links.empty()) {
        candidate.cachedTokens = m_prompts.cachedTokens(*chain, key);
        candidate.cacheLifetimeSeconds = m_prompts.cacheLifetimeSeconds(key, now);
        candidate.affinity = affinityOf(chain->links.front().key, key);
    }
    return candidate;
}

std::optional<TargetChoice> TargetSelector::choose(const TargetNeeds &needs,
                                                   const std::vector<TargetKey> &excludedTargets)
{
    const TimePoint now = m_context.now;
    const ServiceSpec &service = needs.service;
    const PrefixChain *chain = needs.chain;
    std::vector<PlacementCandidate> candidates;
    std::vector<std::pair<const TargetDirectory::Entry *, TargetKey>> entries;
    for (const auto &[id, entry] : m_context.directory.entries()) {
        if (!needs.areMetBy(entry) || !m_context.directory.isUsable(entry, now))
            continue;
        const TargetKey key = hash32(id);
        if (std::find(excludedTargets.begin(), excludedTargets.end(), key) != excludedTargets.end())
            continue;
        Target &target = m_targets[key];
        if (target.boot == 0)
            target.boot = bootHash(entry.record);
        if (!isAvailable(target))
            continue;
        if (isCold(entry, target, service)
            && (!isColdSender(target, key)
                || !target.cold.hasToken(service.coldRequestsPerSecond, coldSenderCount(), now)))
            continue;
        candidates.push_back(candidate(entry, target, key, service, chain));
        entries.emplace_back(&entry, key);
    }
    PlacementRequest need;
    if (chain) {
        need.inputTokens = std::max(1U, chain->inputTokens);
        need.parts = m_prompts.sharedParts(*chain, now);
    }
    const auto measured = m_serviceMs.find(service.name);
    need.serviceMs = measured == m_serviceMs.end() ? initialServiceMs : measured->second;
    const auto placed = choosePlacement(candidates, need);
    if (!placed)
        return std::nullopt;
    const auto &[entry, key] = entries[placed->index];
    TargetChoice choice;
    choice.key = key;
    choice.target = TargetId(entry->record.id);
    choice.endpoint = {entry->record.address, entry->record.port};
    choice.boot = bootHash(entry->record);
    choice.softwareVersion = entry->record.softwareVersion;
    choice.version = entry->version;
    choice.waitMs = placed->waitMs;
    choice.readMs = placed->readMs;
    choice.busyMs = chain ? placed->readMs : need.serviceMs;
    choice.tokens = placed->tokens;
    choice.aheadTokens = candidates[placed->index].load.tokens;
    choice.running = candidates[placed->index].load.running;
    choice.candidates = candidates.size();
    choice.recordAge = now - entry->updatedAt;
    choice.usableFor = m_context.directory.usableAfterRemoval(*entry, now);
    return choice;
}

VersionKey TargetSelector::versionOf(const TargetChoice &choice) const
{
    const TargetDirectory::Entry *entry = m_context.directory.find(choice.target.str());
    return entry && entry->version != choice.version ? unknownVersion : choice.version;
}

bool TargetSelector::hasListedTarget(const TargetNeeds &needs) const
{
    const auto &entries = m_context.directory.entries();
    return std::any_of(entries.begin(), entries.end(), [&](const auto &each) {
        const TargetDirectory::Entry &entry = each.second;
        const auto target = m_targets.find(hash32(each.first));
        const bool isLeaving = target != m_targets.end() && target->second.isLeaving;
        return needs.areMetBy(entry) && !isLeaving && !entry.record.isDraining
            && m_context.directory.isUsable(entry, m_context.now);
    });
}

std::optional<Duration> TargetSelector::remainingPause(const TargetNeeds &needs) const
{
    const TimePoint now = m_context.now;
    std::optional<TimePoint> firstEnd;
    for (const auto &[id, entry] : m_context.directory.entries()) {
        if (!needs.areMetBy(entry) || !m_context.directory.isUsable(entry, now))
            continue;
        const auto found = m_targets.find(hash32(id));
        if (found == m_targets.end())
            return std::nullopt;
        const Target &target = found->second;
        if (target.isLeaving)
            continue;
        if (!target.pause.isPaused(now))
            return std::nullopt;
        firstEnd = std::min(firstEnd.value_or(TimePoint::max()), target.pause.endsAt());
    }
    if (!firstEnd)
        return std::nullopt;
    return *firstEnd - now;
}

bool TargetSelector::reserve(const TargetChoice &choice, const TargetNeeds &needs)
{
    const TimePoint now = m_context.now;
    const ServiceSpec &service = needs.service;
    const PrefixChain *chain = needs.chain;
    Target &target = m_targets[choice.key];
    const TargetDirectory::Entry *entry = m_context.directory.find(choice.target.str());
    if (entry && isCold(*entry, target, service)
        && !target.cold.tryTake(service.coldRequestsPerSecond, coldSenderCount(), now))
        return false;
    if (target.health.isProbeNeeded())
        target.health.onProbeStarted(now);
    target.pause.onRequestSent(now);
    m_loads.begin(choice.key, choice.tokens);
    queueNotice(choice, chain);
    if (!chain)
        return true;
    const std::uint32_t writtenTokens = choice.tokens + chain->outputTokens;
    m_prompts.setCapacity(choice.key, service.engineTokens);
    m_prompts.onTokensWritten(choice.key, writtenTokens, now);
    target.writtenTokens += writtenTokens;
    // Skips the last part, which belongs to this request alone and can't be reused by others.
    for (std::size_t i = 0; i < sharedLinkCount(*chain); ++i) {
        m_prompts.onPromptSent(chain->links[i].key, choice.key, now);
        m_newPlacements.push_back({chain->links[i].key, choice.key});
    }
    return true;
}

/// Must be called before the prompt's parts are recorded as cached at the target.
void TargetSelector::queueNotice(const TargetChoice &choice, const PrefixChain *chain)
{
    const Duration busy = fromSeconds(choice.busyMs / 1000);
    if (!m_noticeFilter.accepts(busy, m_context.peers.limitShareCount(m_context.now),
                                m_context.now))
        return;
    DispatchNotice notice;
    notice.zone = m_context.options.zone.str();
    notice.target = choice.key;
    notice.tokens = choice.tokens;
    notice.waitMs = static_cast<std::uint32_t>(choice.waitMs);
    notice.busyMs = static_cast<std::uint32_t>(choice.busyMs);
    std::uint32_t prefixTokens = 0;
    const std::uint32_t cachedTokens = chain ? m_prompts.cachedTokens(*chain, choice.key) : 0;
    for (std::size_t i = 0; chain && i < sharedLinkCount(*chain); ++i) {
        prefixTokens += chain->links[i].tokens;
        if (prefixTokens > cachedTokens)
            notice.prefixes.push_back(chain->links[i].key);
    }
    m_newNotices.push_back(std::move(notice));
}

void TargetSelector::onDispatchNotice(const NodeId &node, bool isSummarized,
                                      const DispatchNotice &notice)
{
    const TargetLoads::Notice load {notice.target, notice.tokens,
                                    std::chrono::milliseconds(notice.waitMs),
                                    std::chrono::milliseconds(notice.busyMs)};
    if (isSummarized)
        m_loads.onZoneNotice(notice.zone, load, m_context.now);
    else
        m_loads.onNotice(node, load, m_context.now);
    for (const PrefixKey prefix : notice.prefixes)
        m_prompts.onCopyStarted(prefix, notice.target, m_context.now);
}

void TargetSelector::onFirstEvent(const TargetChoice &choice, Duration since)
{
    m_targets[choice.key].pause.onResponseStarted(m_context.now);
    m_targets[choice.key].lastResponseAt = m_context.now;
    m_loads.onPromptRead(choice.key, choice.tokens);
    const std::uint64_t tokens = choice.aheadTokens + choice.tokens;
    if (tokens < minSampleTokens)
        return;
    const double ms = std::max(1.0, toSeconds(since) * 1000 - fixedOverheadMs);
    const double sample
        = std::clamp(static_cast<double>(tokens) / ms, minTokensPerMs, maxTokensPerMs);
    double &speed = m_targets[choice.key].tokensPerMs;
    speed = speed > 0 ? speed + (sample - speed) * sampleWeight
                      : initialTokensPerMs + (sample - initialTokensPerMs) * sampleWeight;
}

std::optional<Duration> TargetSelector::silentFor(TargetKey key) const
{
    const auto found = m_targets.find(key);
    if (found == m_targets.end() || found->second.lastResponseAt == TimePoint())
        return std::nullopt;
    return m_context.now - found->second.lastResponseAt;
}

void TargetSelector::onAttemptEnded(const TargetChoice &choice, bool hadResponseStarted)
{
    if (!hadResponseStarted)
        m_loads.onPromptRead(choice.key, choice.tokens);
    m_loads.end(choice.key);
}

void TargetSelector::onAdvice(const TargetAdviceArrived &event)
{
    const TargetAdvice &advice = event.advice;
    Target &target = m_targets[hash32(event.target.str())];
    if (target.boot != event.targetBoot)
        return; // A new boot has asked for nothing.
    if (advice.coldFor)
        target.coldUntil = m_context.now + *advice.coldFor;
    if (!advice.invalidRetryAfter.empty())
        logAdvice(LogEventId::TargetAdviceInvalid, event);
    if (advice.isLeaving && !std::exchange(target.isLeaving, true))
        logAdvice(LogEventId::TargetLeaving, event);
    if (advice.retryAfter && target.pause.begin(*advice.retryAfter, m_random, m_context.now)) {
        Json::Value fields;
        fields["retryAfterMs"] = toMilliseconds(*advice.retryAfter);
        fields["pauseMs"] = toMilliseconds(target.pause.endsAt() - m_context.now);
        logAdvice(LogEventId::TargetPaused, event, std::move(fields));
    }
}

void TargetSelector::logAdvice(LogEventId id, const TargetAdviceArrived &event, Json::Value fields)
{
    if (!m_adviceLines.tryTake(0, logEventInfo(id).level, m_context.now))
        return;
    fields["status"] = event.status;
    std::string detail = event.target.str();
    if (id == LogEventId::TargetAdviceInvalid)
        detail += ": " + event.advice.invalidRetryAfter;
    m_context.log(id, std::move(detail), std::move(fields));
}

void TargetSelector::onResponseCompleted(const std::string &service, Duration duration)
{
    const auto [found, isNew] = m_serviceMs.try_emplace(service, initialServiceMs);
    found->second += (toSeconds(duration) * 1000 - found->second) * serviceSampleWeight;
}

std::vector<TargetSelector::CacheWrite> TargetSelector::takeCacheWrites()
{
    std::vector<CacheWrite> cacheWrites;
    for (auto &[key, target] : m_targets) {
        const std::uint32_t increase = target.writtenTokens - target.writtenTokensReported;
        if (increase < minReportedWrittenTokens)
            continue;
        target.writtenTokensReported = target.writtenTokens;
        cacheWrites.push_back({key, target.writtenTokens, increase});
    }
    return cacheWrites;
}

void TargetSelector::onRemoteCacheWrite(const NodeId &node, Incarnation incarnation,
                                        const TargetCacheWriteEntry &entry)
{
    RemoteCacheWrite &known = m_remoteCacheWrites[{node, entry.target}];
    const bool isSame = known.incarnation == incarnation;
    // The counters wrap around; their unsigned difference stays correct.
    const std::uint32_t since
        = isSame ? entry.writtenTokens - known.writtenTokens : entry.writtenTokens;
    known = {incarnation, entry.writtenTokens};
    m_prompts.onTokensWritten(entry.target, since, m_context.now);
}

void TargetSelector::onRemoteCacheWriteIncrease(const TargetCacheWriteEntry &entry)
{
    m_prompts.onTokensWritten(entry.target, entry.writtenTokens, m_context.now);
}

void TargetSelector::onRemotePlacement(PrefixKey part, TargetKey target)
{
    m_prompts.onPromptSent(part, target, m_context.now);
}

void TargetSelector::onDirectory()
{
    for (const auto &[id, entry] : m_context.directory.entries()) {
        const TargetKey key = hash32(id);
        const auto found = m_targets.find(key);
        if (found == m_targets.end())
            continue;
        const std::uint64_t boot = bootHash(entry.record);
        const bool isNewBoot = found->second.boot != 0 && found->second.boot != boot;
        found->second.boot = boot;
        if (isNewBoot) {
            found->second.pause = {};
            found->second.isLeaving = false;
        }
        if (isNewBoot || entry.record.isRemoved)
            m_prompts.forgetTarget(key);
    }
}

void TargetSelector::tick()
{
    m_prompts.expire(m_context.now);
    m_loads.expire(m_context.now);
    std::set<std::string> zones;
    for (const auto &[id, entry] : m_context.directory.entries())
        zones.insert(entry.record.zone);
    m_silentZones.clear();
    for (const std::string &zone : zones) {
        if (m_context.peers.isZoneSilent(zone, m_context.now))
            m_silentZones.insert(zone);
    }
}

} // namespace berylridge
